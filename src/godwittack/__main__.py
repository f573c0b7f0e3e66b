"""Runs the command line when the package is executed as a module."""

import godwittack.run

godwittack.run.main()
