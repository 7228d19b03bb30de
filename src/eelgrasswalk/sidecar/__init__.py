"""The node that runs beside a target on a platform with a row store."""
