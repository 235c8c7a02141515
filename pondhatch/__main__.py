"""Run the command line by ``python -m pondhatch``."""

import sys

from pondhatch.cli import main

sys.exit(main())
