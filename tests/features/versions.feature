Feature: Streams while two software versions serve

  Scenario Outline: <case>
    # Each case's docstring in tests/cases states the failure that it guards
    # against.
    When the case "<case>" of "<group>" is played

    Examples: real processes
      | group           | case |
      | versions        | a stream goes on inside its answer at its version |
      | versions        | a stream that a client takes up keeps its version |
      | versions        | a stream taken up twice keeps its version |
      | versions        | a stream outlives its daemon at its version |
      | versions        | no stream is joined after all daemons were killed |
      | versions        | streams of one version go on after all daemons were killed |
      | versions        | a short session of streams keeps all promises |
      | versions        | a stream that nobody knows is not resumed |

    Examples: decisions
      | group           | case |
      | stream_versions | a stream breaks without a server of its version |
      | stream_versions | a stream goes on at another server of its version |
      | stream_versions | a request without events may change its version |
      | stream_versions | the version is that of the process that ran |
      | stream_versions | a stream is told before its first event goes out |
      | stream_versions | a second version has earlier streams told |
      | stream_versions | a told stream goes on at its version |
      | stream_versions | one daemon that knows is enough |
      | stream_versions | a stream that no daemon knows is refused |
      | stream_versions | a version that left of late counts |
      | stream_versions | a single version needs no record |
      | stream_versions | a daemon cut off from all others resumes nothing unknown |
      | stream_versions | a refusal says when the version may be known |
      | stream_versions | a refusal waits for the version that left last |
      | stream_versions | a refusal is short while daemons have not met |
      | stream_versions | a stream of another workspace is unknown |
      | stream_versions | an id used at two versions is unknown |
      | stream_versions | a stream taken up does not hold up the queue |
      | stream_versions | records are bounded |
      | stream_versions | no stream of a fleet has two versions |
      | stream_versions | no stream of a large fleet has two versions |

    Examples: routes that lead to several services
      | group         | case |
      | split_streams | a stream of a split route goes on at its service |
      | split_streams | another daemon knows the service as well |
      | split_streams | streams of a split route are told |
      | split_streams | an unknown stream of a split route is refused |
      | split_streams | a stream is not taken up at another service |
      | split_streams | streams begun after a move are taken up |

    Examples: after all daemons were started again
      | group | case |
      | stream_history | the only version resumes streams after a restart |
      | stream_history | two versions resume no unknown stream after a restart |
      | stream_history | a version that left during a restart counts |
      | stream_history | a version that left before a restart counts |
      | stream_history | a route that moved during a restart resumes no stream |
      | stream_history | a missing row resumes no stream |
      | stream_history | an unreadable row resumes no stream |
      | stream_history | an older list changes no row |
      | stream_history | a silent store resumes no stream |
      | stream_history | each change is written once |

    Examples: a daemon that is out of step
      | group           | case |
      | stream_versions | a daemon that has lost all others resumes nothing unknown |
      | stream_versions | a daemon that loses the others while it asks resumes nothing |
      | stream_versions | a daemon that lost all others resumes its own streams |
      | stream_versions | two daemons cut off together resume nothing unknown |
      | stream_versions | streams are told when all servers are replaced at once |
      | stream_versions | an id listed again with another version keeps both |
      | stream_versions | a daemon with an old list lets no one in step resume |
      | stream_versions | one daemon in step stops another with an old list |
      | stream_versions | a holder whose record was lost stops no other |
      | stream_versions | two daemons that have just healed resume nothing unknown |
      | split_streams   | streams begun after a move are told |
      | split_streams   | a table from before a move resumes no unknown stream |
      | split_streams   | a daemon alone with an old table resumes no unknown stream |
      | stream_versions | no stream is mixed by a daemon that is cut off |
      | stream_versions | no stream is mixed by daemons that are cut off together |
      | stream_versions | no stream is mixed by a daemon that stood still |
      | stream_versions | no stream is mixed when old servers leave during a cut |
      | stream_versions | no stream is mixed when a version came and went during a cut |
      | stream_versions | no stream is mixed when all daemons in step have left |
      | split_streams   | a move and back that a daemon missed resumes no unknown stream |
      | stream_versions | no stream is mixed by new daemons that ask one out of step |

    Examples: copies that are followed and read
      | group     | case |
      | following | a stream without a record waits for both copies |
      | following | what the read shows counts |
      | following | a failed read refuses with a time |
      | following | a read that never ends resumes nothing |
      | following | a caller that leaves awaits no read |
      | following | a read begun before the caller came does not count |
      | following | many streams share a read |
      | following | a gap makes the history incomplete for a minute |
      | following | a copy that nothing confirms is not followed |
      | following | the history row ends a gap |
      | following | a version of a gap counts once the row was read |
      | following | a new daemon knows no earlier target without the row |
      | following | a daemon reads the row again after a gap |
      | following | a move and back within a gap resumes no unknown stream |
