package change

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/operate/lang"
)

const stored = `{"endpoints":[
 {"name":"a","service":"s","host":"h1","zone":"z","address":"10.0.0.1:1"},
 {"name":"b","service":"s","host":"h2","zone":"z","address":"10.0.0.2:1","weight":2},
 {"name":"c","service":"t","host":"h3","zone":"z","address":"10.0.0.3:1"}]}`

func plan(t *testing.T, script string) (*Plan, finding.List) {
	t.Helper()
	statements, findings := lang.Parse(script)
	assert.NilError(t, findings.Err())
	kind, findings := KindOf(statements)
	if len(findings) > 0 {
		return nil, findings
	}
	value := ""
	if kind == config.KindEndpoints {
		value = stored
	}
	p, findings, err := NewPlan(kind, []byte(value), statements)
	assert.NilError(t, err)
	if len(findings) == 0 {
		_, err = config.Decode(kind, p.Value)
		assert.NilError(t, err, script)
	}
	return p, findings
}

func TestPlanListsChanges(t *testing.T) {
	for script, want := range map[string]string{
		"drain endpoint a":                               `change endpoint "a" drain: false -> true`,
		"undrain endpoint a":                             "",
		"set endpoint a weight 0.5":                      `change endpoint "a" weight: 1 -> 0.5`,
		"move weight 0.25 from endpoint a to endpoint b": `change endpoint "a" weight: 1 -> 0.75; change endpoint "b" weight: 2 -> 2.25`,
		"delete endpoint a":                              `delete endpoint "a"`,
		`create endpoint d service s host h zone z address "10.0.0.9:1"`:                 `create endpoint "d" service="s" host="h" zone="z" address="10.0.0.9:1"`,
		"create team puno services [s, t] key_hashes [" + strings.Repeat("ab", 32) + "]": `create team "puno" key_hashes=["abababab..."] services=["s","t"]`,
		"create team puno":                     `create team "puno"`,
		"drain endpoint a\nundrain endpoint a": "",
	} {
		p, findings := plan(t, script)
		assert.NilError(t, findings.Err(), script)
		var lines []string
		for _, c := range p.Changes {
			lines = append(lines, c.String())
		}
		assert.Equal(t, strings.Join(lines, "; "), want, script)
	}
}

func TestFindingsHavePlaceOfCommand(t *testing.T) {
	_, findings := plan(t, `set endpoint b weight 101
drain endpoint nobody
create endpoint a
set endpoint c colour red weight heavy
move weight 3 from endpoint a to endpoint b
move weight 1 from endpoint a to endpoint c`)
	var got []string
	for _, f := range findings {
		got = append(got, f.String())
	}
	assert.DeepEqual(t, got, []string{
		`line 2, column 16: endpoint "nobody" does not exist`,
		`line 3, column 17: endpoint "a" exists already`,
		`line 4, column 16: field "colour" does not exist on a endpoint`,
		`line 4, column 27: field "weight" cannot have the value "heavy"`,
		`line 5, column 13: endpoint "a" has weight 1, less than 3`,
		`line 6, column 43: endpoint "c" belongs to service "t", endpoint "a" to "s"`,
		`line 1, column 16: weight: 101 is outside 0 to 100`,
	})
}

func TestCommandsOfSeveralKindsAreRefused(t *testing.T) {
	_, findings := plan(t, "drain endpoint a\ndelete team puno")
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Place, "line 2, column 1")
}
