"""Options of a node, their validation, and the settings page."""
