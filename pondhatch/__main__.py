"""Runs the command line as ``python -m pondhatch``."""

import gc
import sys

from pondhatch._early_signals import handle_early

handle_early(sys.argv[1:])

from pondhatch._early_port import open_early  # noqa: E402

open_early(sys.argv[1:])

# Imports create a hundred thousand objects that are never freed. Repeated garbage collections over
# them would take a tenth of a router's start time. The commands enable collection again.
gc.disable()

from pondhatch.cli import main  # noqa: E402

sys.exit(main())
