package httpcall

// IdleConnectionsEnded tells whether the other side has closed all idle connections.
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
