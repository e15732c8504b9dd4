package rollout

// versionedTally is the newest tally of a sender.
type versionedTally struct {
	version TallyVersion
	tally   Tally
}
