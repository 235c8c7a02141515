"""Run the command line by ``python -m pondhatch``."""

import gc
import sys

from pondhatch._early_port import open_early

open_early(sys.argv[1:])

# Importing makes a hundred thousand objects that stay; looking through them for garbage
# again and again takes a tenth of a router's start. The commands switch it on again.
gc.disable()

from pondhatch.cli import main  # noqa: E402

sys.exit(main())
