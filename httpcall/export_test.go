package httpcall

// IdleConnectionsEnded reports whether the server has closed all idle connections or has sent data on them.
func (c *Client) IdleConnectionsEnded() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	for _, idle := range c.conns.idle {
		if idle.alive() {
			return false
		}
	}
	return true
}
