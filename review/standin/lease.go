//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["lease"] = leaseCase }

const leaseServers = 3

type leaseFleet struct {
	w         *world
	pools     [leaseServers]*pool
	files     [leaseServers]string
	platforms [leaseServers]string
	sockets   [leaseServers]string
	listens   [leaseServers]string
	procs     [leaseServers]*process
	starts    int
}

func (w *world) startLeaseFleet() *leaseFleet {
	f := &leaseFleet{w: w}
	var peers [leaseServers]string
	members := w.startMembership()
	for i := range peers {
		peers[i] = freeAddress()
	}
	for i := range peers {
		var ask []string
		for j, address := range peers {
			if j != i {
				ask = append(ask, fmt.Sprintf("%q", address))
			}
		}
		f.sockets[i] = filepath.Join(w.dir, fmt.Sprintf("s%d.sock", i))
		f.listens[i] = freeAddress()
		f.files[i] = w.write(fmt.Sprintf("n%d.toml", i), fmt.Sprintf(
			"[control]\nsocket = %q\n[peers]\nlisten = %q\nask = [%s]\n[lease]\nduties = [\"compact\"]\nlease = \"2s\"\ndrift = 0.01\n",
			f.sockets[i], peers[i], strings.Join(ask, ", ")))
		f.pools[i] = w.startPool(20 * time.Millisecond)
		f.platforms[i] = w.platformFile(fmt.Sprintf("n%d", i), f.listens[i], f.pools[i].address, members, siteSettings)
		f.start(i)
	}
	return f
}

func (f *leaseFleet) start(i int) {
	f.starts++
	name := fmt.Sprintf("n%d", i)
	f.procs[i] = f.w.start(fmt.Sprintf("%s-%d", name, f.starts), "trap '' HUP; exec bin/quartzpoint serve --config "+f.files[i],
		"EDGE_CONFIG="+f.platforms[i], "EDGE_NAME="+name, "EDGE_LISTEN="+f.listens[i])
}

type leaseStatus struct {
	Holds bool   `json:"holds"`
	Token uint64 `json:"token"`
	Left  int64  `json:"left_ns"`
}

func (f *leaseFleet) show(i int) (s leaseStatus, ok bool) {
	cmd := exec.Command("bin/quartzpoint", "lease", "show", "--json", f.sockets[i])
	cmd.Dir = os.Getenv("ROOT")
	out, err := cmd.Output()
	var all []leaseStatus
	if err != nil || json.Unmarshal(out, &all) != nil || len(all) != 1 {
		return s, false
	}
	return all[0], true
}

func (f *leaseFleet) holder() (holder int, token uint64) {
	holder = -1
	waitFor("a holder", 40*time.Second, func() bool {
		for i := range f.procs {
			if s, ok := f.show(i); ok && s.Holds {
				holder, token = i, s.Token
				return true
			}
		}
		return false
	})
	f.w.note("n%d holds the lease under token %d", holder, token)
	return holder, token
}

func leaseCase(w *world) (broken bool) {
	f := w.startLeaseFleet()
	holder, token := f.holder()
	// The lease passes on once.
	f.procs[holder].signal(syscall.SIGKILL)
	<-f.procs[holder].ended
	w.note("n%d killed", holder)
	time.Sleep(2500 * time.Millisecond)
	first := token
	f.start(holder)
	holder, token = f.holder()
	if w.trouble {
		for i := range f.procs {
			f.procs[i].signal(syscall.SIGKILL)
		}
		for i := range f.procs {
			<-f.procs[i].ended
		}
		w.note("all killed")
		time.Sleep(5 * time.Second)
		for i := range f.procs {
			f.start(i)
		}
	} else {
		time.Sleep(5 * time.Second)
	}
	_, last := f.holder()
	w.verdict("tokens %d, %d, %d", first, token, last)
	return last < token
}
