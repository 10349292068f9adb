"""Tests of the options, their validation and the settings page."""
