"""The policy under load: the real decision core on a virtual clock."""
