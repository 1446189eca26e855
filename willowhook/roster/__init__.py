"""The roster of hosts: its published HTTP form, and a reader that follows it by blocking queries."""
