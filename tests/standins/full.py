"""A sidecar whose disk is full for as long as a file named `full` stands in its working folder.

python -m standins.full run -c FILE
"""

import errno
from pathlib import Path

from rainpier.cli.main import main
from rainpier.node import core
from rainpier.store.files import Folder


class Full(Folder):
    def create(self, name):
        self.refuse()
        return super().create(name)

    def append(self, handle, data):
        self.refuse()
        return super().append(handle, data)

    @staticmethod
    def refuse():
        if Path("full").exists():
            raise OSError(errno.ENOSPC, "no space left on device")


if __name__ == "__main__":
    core.Folder = Full
    main()
