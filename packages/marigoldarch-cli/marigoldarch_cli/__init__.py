"""The command line of marigoldarch operators."""
