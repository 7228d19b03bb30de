"""Controllers that keep a node's state up to date."""
