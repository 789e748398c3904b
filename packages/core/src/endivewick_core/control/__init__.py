"""Control: the replicated log of its quorum, and the decisions of its leader."""
