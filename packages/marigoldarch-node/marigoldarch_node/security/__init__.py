"""Keys and certificates, and their reloading."""
