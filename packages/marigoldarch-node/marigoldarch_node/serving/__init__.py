"""The shell of pass-through serving: entries before plain HTTP targets, and control hosts."""
