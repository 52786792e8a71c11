package check

// Severity tells findings that break requests from those that do not.
type Severity string

const (
	// Error means that the VMs reject or ignore the entry, or that its requests always fail.
	Error Severity = "error"
	// Warning means that the entry is served, but possibly not as intended.
	Warning Severity = "warning"
)

// Kind classifies a Finding.
type Kind string

// Kinds of finding.
const (
	// KindMissing means that a required value is absent.
	KindMissing Kind = "missing"
	// KindDuplicate means that a name or a key occurs more than once.
	KindDuplicate Kind = "duplicate"
	// KindNeverMatches means that no request can select the entry.
	KindNeverMatches Kind = "never_matches"
	// KindBadReference means that a referenced entry does not exist or cannot be used.
	KindBadReference Kind = "bad_reference"
	// KindUnused means that nothing refers to the entry.
	KindUnused Kind = "unused"
	// KindOutOfRange means that a number is outside its range.
	KindOutOfRange Kind = "out_of_range"
	// KindContradiction means that two values do not fit together.
	KindContradiction Kind = "contradiction"
	// KindVersion means that the VMs ignore the configuration because of its version.
	KindVersion Kind = "version"
)

// Section is a part of the configuration.
type Section uint8

// Sections of the configuration.
const (
	SectionCatalog Section = iota
	SectionRoutes
	SectionPools
	SectionWorkspaces
	SectionLimits
)

// Field is a field of an entry.
type Field uint8

// Fields. FieldNone stands for the entry as a whole.
const (
	FieldNone Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPrefix
	FieldTimeout
	FieldObjective
	FieldEventGap
	FieldPriority
	FieldSplit
	FieldSplitPool
	FieldSplitWeight
	FieldStagePool
	FieldStageDependsOn
	FieldStageBytes
	FieldMaxConnections
	FieldColdTime
	FieldColdRate
	FieldBatchConcurrency
	FieldBatchQueue
	FieldBatchPieces
	FieldBatchCallTime
	FieldBatchPieceTime
	FieldBatchMemory
	FieldBatchTTL
	FieldEngineConcurrency
	FieldEngineTokens
	FieldEngineTokenBytes
	FieldEngineLink
	FieldKeys
	FieldKey
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout

	// FieldCount is the number of fields.
	FieldCount
)

// Location is the place of a finding. Paths in the published form are up to the caller, since this
// package does not know its field names.
type Location struct {
	Section Section
	// Index is the index of a route or workspace. Pools have no order and are identified by Name.
	Index int
	Name  string
	Field Field
	// Item is the index within a list: of the pool in a split, the stage or the key.
	Item int
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Kind     Kind
	Location Location
	// Problem states what was found. It never contains a key of a workspace.
	Problem string
	// Expected states what is accepted.
	Expected string
}
