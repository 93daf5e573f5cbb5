// Command rig plays the cases of the third review: it starts entry daemons as the deploy file does,
// against stand-ins of the platform, of workers and of clients, and checks one rule.
//
// The first argument names the case, the second one the file for the record. With TROUBLE=0 in the
// environment the disruption is left out. The exit status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(r *rig){
		"halted":  haltedFill,
		"crashes": crashesUnderAJob,
		"pending": pendingOfARefusingWorker,
		"record":  recordThatOutgrowsTheStore,
		"overdue": overdueSchedule,
		"odd":     oddEntries,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	r := newRig(os.Args[2])
	cases[os.Args[1]](r)
}
