// Command notenants shows what entries do when the operator takes away the last tenant.
package main

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/platform/standin"

	"siskinford-review/6/kit"
)

const (
	// configTime is configMs of the installation, margin what the check allows beyond it.
	configTime = 2 * time.Second
	margin     = 50 * time.Millisecond
)

func main() { kit.Main(kit.Options{}, run) }

func run(_ context.Context, k *kit.Kit) (bool, error) {
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	held := k.Load(kit.Request{Method: http.MethodPost, Path: standin.PathIssue + "tag", Deadline: time.Second}, 50*time.Millisecond, stop)
	unknown := k.Load(kit.Request{Method: http.MethodPost, Path: standin.PathIssue + "tag", Deadline: time.Second, Key: "a-key-that-no-version-held"}, 50*time.Millisecond, stop)
	time.Sleep(2 * time.Second)
	tenants := []any{}
	if !k.Trouble {
		tenants = append(tenants, map[string]any{"name": standin.Team, "apiKeys": []string{}})
	}
	if err := k.Site.Configure(func(c map[string]any) { c["tenants"] = tenants }); err != nil {
		return false, err
	}
	removed := time.Now()
	k.Log("the store acknowledged a configuration with tenants %v: no key is held by any tenant", tenants)
	time.Sleep(5 * time.Second)
	close(stop)
	list := append(held(), unknown()...)
	sort.Slice(list, func(i, j int) bool { return list[i].Sent.Before(list[j].Sent) })
	broken := 0
	for _, s := range list {
		ran := k.Site.Executions.Count(id.Request(s.ID))
		late := ran > 0 && (s.Key != "" || s.Sent.After(removed.Add(configTime+margin)))
		if late {
			broken++
		}
		key := "the removed key"
		if s.Key != "" {
			key = "a key that no version held"
		}
		k.Log("sent %s to entry %d with %s: request %s, answered %d, ran %d times%s", k.At(s.Sent), s.Entry, key, s.ID, s.Status, ran, map[bool]string{true: "  NOT ALLOWED"}[late])
	}
	k.Log("%d of %d requests ran without a key that is held", broken, len(list))
	return broken > 0, nil
}
