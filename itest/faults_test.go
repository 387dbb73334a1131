package itest

import "github.com/siskinford/siskinford/lab/faultproxy"

// cutBoth stops both directions of a proxy.
var cutBoth = faultproxy.Faults{CutToTarget: true, CutToClient: true}
