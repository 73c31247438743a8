// Package tasks runs periodic tasks: it reads the platform's list of hosts, and appends
// heartbeat records and checkpoints to the configuration log. Each host reads the list;
// one host appends the records for all. The choice of that host is not exclusive, as it
// does no harm if two hosts append them.
package tasks

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/stream"
)

// Platform is the part of the platform client that the tasks use.
type Platform interface {
	Append(ctx context.Context, name string, data []byte) (uint64, error)
	Hosts(ctx context.Context) ([]logapi.Host, error)
}

// Config holds the dependencies and settings of a Runner.
type Config struct {
	Clock    clock.Service
	Platform Platform
	Members  *member.Table
	Store    *follow.Store
	Self     string
	// ListInterval is the time between two reads of the platform's list of hosts.
	ListInterval time.Duration
	// HeartbeatInterval and CheckpointInterval are the times between two records of the
	// kind.
	HeartbeatInterval  time.Duration
	CheckpointInterval time.Duration
	Logger             hclog.Logger
}

// checkpointBytes limits the size of the document text in a checkpoint record.
const checkpointBytes = 256 << 10

// Runner runs the tasks.
type Runner struct {
	cfg            Config
	lastCheckpoint uint64
}

// New returns a runner; Run starts it.
func New(cfg Config) *Runner { return &Runner{cfg: cfg} }

// Run runs the tasks until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	list := r.cfg.Clock.Subscribe(r.cfg.ListInterval)
	defer list.Stop()
	beat := r.cfg.Clock.Subscribe(r.cfg.HeartbeatInterval)
	defer beat.Stop()
	checkpoint := r.cfg.Clock.Subscribe(r.cfg.CheckpointInterval)
	defer checkpoint.Stop()
	r.readHostList(ctx)
	for {
		select {
		case <-list.C():
			r.readHostList(ctx)
		case <-beat.C():
			r.heartbeat(ctx)
		case <-checkpoint.C():
			r.Checkpoint(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) readHostList(ctx context.Context) {
	hosts, err := r.cfg.Platform.Hosts(ctx)
	if err != nil {
		r.cfg.Logger.Debug("failed to read list of hosts", "error", err)
		return
	}
	r.cfg.Members.SetListed(lo.Map(hosts, toMember), r.cfg.Clock.Now())
}

func toMember(h logapi.Host, _ int) member.Host {
	state := member.Live
	if h.State == logapi.HostLeaving {
		state = member.Leaving
	}
	return member.Host{Name: h.Name, FailureDomain: h.FailureDomain, Address: h.Address, State: state}
}

// IsOwner reports whether this host runs a task for all hosts. The owner is chosen by
// rendezvous hashing over the hosts that this host considers live, so two hosts may both
// be the owner for a while.
func (r *Runner) IsOwner(task string) bool {
	live := r.cfg.Members.Find(member.FindOptions{States: []member.State{member.Live}})
	key := route.NameKey(task)
	owner := lo.MaxBy(live, func(a, b member.Host) bool { return route.Score(key, a.Name) > route.Score(key, b.Name) })
	return owner.Name == r.cfg.Self
}

func (r *Runner) heartbeat(ctx context.Context) {
	if !r.IsOwner("heartbeat") {
		return
	}
	beat := &conf.Heartbeat{Host: r.cfg.Self, Sent: r.cfg.Clock.Now()}
	r.append(ctx, conf.Record{Kind: conf.KindHeartbeat, ID: uuid.NewString(), Heartbeat: beat})
}

// Checkpoint appends a checkpoint of the configuration, if this host owns the task and
// the configuration has changed since the last checkpoint that it appended.
func (r *Runner) Checkpoint(ctx context.Context) {
	if !r.IsOwner("checkpoint") {
		return
	}
	snap := r.cfg.Store.Snapshot()
	if snap.Offset == 0 || snap.Offset == r.lastCheckpoint || len(snap.Documents) == 0 {
		return
	}
	for _, rec := range snap.Checkpoints(uuid.NewString(), checkpointBytes) {
		if !r.append(ctx, rec) {
			return
		}
	}
	r.lastCheckpoint = snap.Offset
	r.cfg.Logger.Info("checkpoint appended", "offset", snap.Offset, "documents", len(snap.Documents))
}

func (r *Runner) append(ctx context.Context, rec conf.Record) bool {
	data, err := rec.Encode()
	if err != nil {
		r.cfg.Logger.Error("failed to encode record", "error", err)
		return false
	}
	if _, err := r.cfg.Platform.Append(ctx, stream.Config, data); err != nil {
		r.cfg.Logger.Debug("failed to append record", "kind", rec.Kind, "error", err)
		return false
	}
	return true
}
