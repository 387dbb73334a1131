package itest

import "github.com/siskinford/siskinford/lab/faultproxy"

// cutBoth drops all traffic of a proxy in both directions.
var cutBoth = faultproxy.Faults{CutToTarget: true, CutToClient: true}
