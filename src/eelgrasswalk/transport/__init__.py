"""HTTP entry and exit, and the links between nodes."""
