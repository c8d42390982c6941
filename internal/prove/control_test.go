package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// control posts faults to a path of a stand-in's control interface.
func (c *cluster) control(address, path string, faults any) {
	c.send(http.MethodPost, address, path, faults)
}

// send sends a JSON request to a stand-in and returns the HTTP status, or 0 on
// failure. The timeout of 2 s keeps a suspended stand-in from blocking the run.
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

// setPlatformFaults replaces all faults of the platform.
func (c *cluster) setPlatformFaults(f standin.PlatformFaults) {
	c.control(c.platformAddress(), "/control/faults", f)
}

// cutPeers cuts or restores the link for calls from one node to another.
func (c *cluster) cutPeers(from, to int, cut bool) { c.peerRelays[to].setCut(c.nodeIP(from), cut) }

// cutPlatform cuts or restores one node's link to the platform.
func (c *cluster) cutPlatform(node int, cut bool) { c.platformRelays[node].setCut("", cut) }
