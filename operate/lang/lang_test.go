package lang

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/operate/table"
)

func endpointRow(name, zone string, queue table.Value) table.Row {
	row := make(table.Row, len(NewTable(Endpoints).Columns))
	row[0], row[2], row[8] = table.Text(name), table.Text(zone), queue
	return row
}

func endpoints() *table.Table {
	t := NewTable(Endpoints)
	t.Rows = []table.Row{
		endpointRow("a", "lima-a", table.Number(5)), endpointRow("b", "lima-a", table.Number(9)),
		endpointRow("c", "lima-b", table.Number(7)), endpointRow("d", "lima-a", table.Value{}),
	}
	return t
}

func TestQueriesFilterSortAndLimit(t *testing.T) {
	for script, want := range map[string]string{
		`endpoints where zone = "lima-a" and queue > 4 order by queue desc`: "b,a",
		`endpoints where zone = lima-b or queue = 5`:                        "a,c",
		`endpoints where not (zone = lima-a) show name`:                     "c",
		`endpoints where name ~ "a" or name ~ b`:                            "a,b",
		`endpoints where queue != 5 limit 2`:                                "b,c",
		`endpoints where queue <= 7 and queue >= 5 and queue < 7`:           "a",
		"endpoints # all\n  where zone = lima-a\n  order by name desc":      "d,b,a",
		`endpoints order by zone desc, queue limit 2`:                       "c,d",
	} {
		statements, findings := Parse(script)
		assert.NilError(t, findings.Err(), script)
		assert.Equal(t, len(statements), 1)
		var names []string
		for _, r := range statements[0].Query.Apply(endpoints()).Rows {
			names = append(names, r[0].Text)
		}
		assert.Equal(t, strings.Join(names, ","), want, script)
	}
}

func TestFindingsHaveLineAndColumn(t *testing.T) {
	script := "endpoints where zonk = 3 and queue = x\nteams show\n" +
		"services; hots\n\n  drain team puno # no\nset endpoint a\ntimeline since soon\nmove weight 0 from endpoint a to endpoint b\n" +
		"endpoints limit 1.5; teams where weight ~ 1"
	_, findings := Parse(script)
	places := make([]string, len(findings))
	for i, f := range findings {
		places[i] = f.Place
	}
	assert.DeepEqual(t, places, []string{
		"line 1, column 17", "line 1, column 38", "line 2, column 11",
		"line 3, column 11", "line 5, column 9", "line 6, column 5",
		"line 7, column 10", "line 8, column 13", "line 9, column 17", "line 9, column 34",
	})
}

func TestParseAllStatementForms(t *testing.T) {
	script := `create team puno key_hashes ["ab", "cd"] weight 2
change service asistente deadline_ms 4000
set endpoint asistente-1 weight 0.5
delete endpoint asistente-2; drain endpoint "10"
undrain endpoint asistente-1
move weight 0.25 from endpoint a to endpoint b
explain request req_0a
timeline since 5m request req_0a kind request.dispatched`
	statements, findings := Parse(script)
	assert.NilError(t, findings.Err())
	assert.Equal(t, len(statements), 9)
	assert.Equal(t, *statements[4].Command.Drain.Name.Text, "10")
	assert.Equal(t, statements[8].Start(), "line 8, column 1")
}

func TestEveryKindCanBeQueried(t *testing.T) {
	for _, k := range Kinds() {
		_, findings := Parse(string(k))
		assert.NilError(t, findings.Err())
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`endpoints where zone = "lima-a" and queue > 4 order by queue desc`)
	f.Add("set endpoint a weight 0.5\nteams; drain endpoint \"x;y\" # c")
	f.Fuzz(func(t *testing.T, script string) {
		statements, findings := Parse(script)
		for _, s := range statements {
			if len(findings) == 0 && s.Query != nil {
				s.Query.Apply(NewTable(Kind(s.Query.Kind)))
			}
		}
	})
}
