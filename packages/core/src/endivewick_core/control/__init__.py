"""The decisions of a control process: the quorum, its log and what the leader does with it."""
