package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// control posts faults to a stand-in's control interface.
func (c *cluster) control(address, path string, faults any) {
	c.send(http.MethodPost, address, path, faults)
}

// send makes a call to a stand-in and returns the status, or 0. The limit keeps
// a frozen stand-in from holding up the run.
func (c *cluster) send(method, address, path string, value any) int {
	body, err := json.Marshal(value)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Logf("control %s%s: %v", address, path, err)
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// platformFaults replaces the platform's faults.
func (c *cluster) platformFaults(f standin.PlatformFaults) {
	c.control(c.platformAddress(), "/control/faults", f)
}

// cutPeers cuts or heals the link on which node from calls node to.
func (c *cluster) cutPeers(from, to int, cut bool) { c.peerRelays[to].setCut(c.nodeIP(from), cut) }

// cutPlatform cuts or heals one node's link to the platform.
func (c *cluster) cutPlatform(node int, cut bool) { c.platformRelays[node].setCut("", cut) }
