"""What operators do: read, edit and publish revisions, ask nodes."""
