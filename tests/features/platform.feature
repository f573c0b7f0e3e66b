Feature: Routed requests between the platform's callers and servers

  Scenario Outline: <case>
    # Each case's docstring in tests/cases states the failure that it guards
    # against, or its symptom, sequence and cause.
    When the case "<case>" of "<group>" is played

    Examples: routed requests
      | group  | case |
      | routed | a route without keys is served |
      | routed | many requests without keys are served |
      | routed | a call that may have run is not sent again |
      | routed | a declined call goes to another server |
      | routed | a call declined by all servers is reported as not run |
      | routed | a failure answer is kept while another server is tried |
      | routed | a failure answer of a call that runs once is final |
      | routed | a stream continues at another server |
      | routed | a stream that may not be resumed breaks |
      | routed | a silent stream that may not be resumed is not sent again |
      | routed | a resumable stream without first event moves |
      | routed | the route's timeout ends a request |
      | routed | a key revoked while its request is queued is not served |
      | routed | keys are refused once the serving lease expires |
      | routed | an unsafe call outlives its caller |
      | routed | retries stay within their budget |
      | routed | a fleet shares the burst of retries |
      | routed | a server that stops responding is noticed within half a second |
      | routed | a busy service is not probed for each slow answer |
      | routed | a short urgent request passes long ones that are queued |
      | routed | a model queues no more than its limit over all priorities |
      | routed | demand without a limit is not counted |
      | routed | many daemons probe a silent server in turn |
      | routed | a peer's suspicion causes a probe only |
      | routed | a busy server that answers keeps its requests |
      | routed | a refusal that says not run is true |
      | routed | queued requests stay with a server that responds |
      | routed | a request that was overtaken moves |
      | routed | a stopping daemon begins no request |
      | routed | an overdue stop answers every request |

    Examples: peers
      | group | case |
      | peers | updates arrive in order with their sender |
      | peers | calls are answered |
      | peers | a failed call names what it waited for |
      | peers | a peer with another secret gets neither answers nor streams |
      | peers | unreadable messages are refused |
      | peers | a server that stops ends its streams at once |
      | peers | urgent updates are sent as datagrams |
      | peers | test ports are outside the ephemeral range |
      | peers | concurrent processes choose different ports |
      | peers | demand is sent again when a stream breaks |
      | peers | reported use is sent again when a stream breaks |
      | peers | unchanged demand is sent once |
      | peers | a model's rate is sent when it changes |
      | peers | a forwarded table is unchanged |
      | peers | a damaged table is rejected |
      | peers | a changed route is sent as a difference |
      | peers | a difference to another table is not applied |

    Examples: updates whose number is bounded
      | group | case |
      | paced_updates | a cut is told in one message to each peer |
      | paced_updates | urgent updates of a burst share messages |
      | paced_updates | a drain waits for no other update |
      | paced_updates | an unreachable peer is tried less and less often |
      | paced_updates | crashes are sent again once they have settled |
      | paced_updates | a suspicion that has spread is not told again |

    Examples: timeouts of callers' connections
      | group               | case |
      | connection_timeouts | unfinished request headers time out |
      | connection_timeouts | an idle connection is closed |
      | connection_timeouts | a connection with a running request is not idle |
      | connection_timeouts | without limits no connection is closed |
      | connection_timeouts | a compressed body is forwarded unchanged |
      | connection_timeouts | an answer that is read slowly is not idle |
      | connection_timeouts | an idle connection with unread bytes is not closed |
      | connection_timeouts | a stopping server answers pipelined requests |
      | connection_timeouts | a pipelined request that waits for its handler is not idle |
      | connection_timeouts | requests are refused by the clock |
      | connection_timeouts | an answer without framing is sent before its orderly end |
      | connection_timeouts | a connection whose body is still discarded is not idle |
      | connection_timeouts | an answer that is no longer read is aborted |

    Examples: servers for callers
      | group     | case |
      | listeners | connections opened before the stop are served |
      | listeners | the queue of connections is long from its start |
      | listeners | a crowd is accepted in small parts |
      | connection_timeouts | a connection accepted as a daemon stops listening is answered |

    Examples: malformed bytes
      | group | case |
      | fuzz  | an answer is complete or rejected however it is split |
      | fuzz  | malformed answers are rejected |
      | fuzz  | events are the same however they are split |
      | fuzz  | a stream that looks complete is complete |
      | fuzz  | a corrupted request is answered or its connection closed |

    Examples: instance entries
      | group         | case |
      | instance_rows | an invalid entry is skipped and the others are used |
      | instance_rows | corrupted bytes in a row affect no other row |
      | instance_rows | servers without a start time are identified by their id |
      | instance_rows | of two rows with one address the later start wins |
      | instance_rows | an invalid weights row keeps the active version |
      | instance_rows | a restarted server keeps no earlier state |
      | instance_rows | late updates of an earlier incarnation are dropped |
      | instance_rows | an answer of an earlier incarnation changes nothing |
      | instance_rows | an order to an earlier incarnation is not awaited |
      | instance_rows | reports and events carry the incarnation |
      | instance_rows | an engine that reports no weights gets no work |

    Examples: prefill cost of engines
      | group         | case |
      | prefill_costs | the prefill cost is learnt within seconds |
      | prefill_costs | one cached prompt does not make engines look fast |
      | prefill_costs | queueing does not make engines look slow |
      | prefill_costs | few samples change nothing |
      | prefill_costs | queue estimates use the learnt prefill cost |
      | prefill_costs | prompts are announced by their computing time |

    Examples: weights
      | group   | case |
      | weights | a server back with replaced weights gets no work |
      | weights | each publication ages older weights separately |
      | weights | older weights serve until they are too old |
      | weights | a late report does not bring old weights back |
      | weights | a server that goes back to older weights is noticed |
      | weights | new weights end a drain |
      | weights | cache scopes differ by version and isolation |
      | weights | a refused order frees its place |
      | weights | requests without a usable server are refused at once |
      | weights | a server that crashes while it loads frees its place |
      | weights | a late table does not make old weights look recent |
      | weights | publications received in one table have one age |
      | weights | a table after a long outage leaves a quarter of the limit |
      | weights | a connected daemon dates a publication a second early at most |

    Examples: server connections
      | group | case |
      | connections | a call past its deadline is not sent |
      | connections | a call is not sent once its server rests or leaves |
      | connections | signals of another process are ignored |
      | connections | control calls report their server's signals |
      | connections | the HTTP backend reports a requested rest |
      | connections | an idle connection is reused |
      | connections | a second answer to one request is discarded |
      | connections | a late answer to another request is skipped |
      | connections | a truncated answer is rejected |
      | connections | an answer without a length ends with its connection |
      | connections | declined calls are distinguished from failed ones |
      | connections | a body is sent to its end after an early answer |
      | connections | a broken stream delivers only whole events |
      | connections | a stream ends with its last chunk |
      | connections | a refused connection counts as not sent |
      | connections | a reset on connecting counts as not sent |
      | connections | a connection closed while idle is not reused |
      | connections | a cancelled attempt closes its connection |

    Examples: late copies of answers
      | group       | case |
      | late_copies | a copy of a rejection is not the next attempt's answer |
      | late_copies | a copy is skipped by other requests |
      | late_copies | an older connection serves a second attempt |
      | late_copies | a copy in pieces ends its connection |
      | late_copies | a connection is replaced before it forgets a request |
      | late_copies | a copy of a report is not the answer to an order |

    Examples: the store's rows
      | group         | case |
      | feed_follower | changes are merged and published |
      | feed_follower | lost history leads to a new snapshot |
      | feed_follower | a stale read reverts nothing |
      | feed_follower | a long poll confirms from its answer on |
      | feed_follower | a delayed answer is dated by the store's clock |
      | feed_follower | the feed is asked after a late snapshot |
      | feed_follower | a row that cannot be decoded is asked for once |
      | feed_follower | an outage keeps the last known rows |
      | feed_follower | a row added and removed unseen advances the version |
      | feed_follower | daemons that are not readers call less in an outage |
      | feed_follower | a daemon without rows backs off no further than a reader |
      | feed_follower | a peer with a newer version ends the pause once |
      | feed_follower | a reader keeps its pauses beside other readers |

    Examples: the lead of a model
      | group   | case |
      | leading | servers that may not be ordered are not drained |
      | leading | a roll out starts at once |
      | leading | an unreadable lease row hides no order |
      | leading | a server that leaves during a store call is not ordered |
      | leading | a roll out continues without pauses |
      | leading | a rejected fencing number ends the lead |
      | leading | an order without a report is not sent |
      | leading | a server whose address was reused is not ordered again |
      | leading | a server is drained again for each load |
      | leading | a lead that was cut off does not overwrite a new holder |
      | leading | a previous lead's drain is announced again |

    Examples: roll-outs over many servers
      | group    | case |
      | rollouts | a roll out under load logs its progress |
      | rollouts | a lead without the store logs it once |
      | rollouts | a large fleet under load has new weights in time |
      | rollouts | a small fleet under load loads one at a time while there is time |
      | rollouts | servers that get no work load at once |
      | rollouts | the oldest weights are replaced first |
      | rollouts | slow loads are started earlier |
      | rollouts | a short load lowers the estimate slowly |
      | rollouts | a refused order counts for its version only |
      | rollouts | newer weights end a drain whoever ordered them |
      | rollouts | a late report of older weights does not end a load |
      | rollouts | servers held by others without work take no load slot |
      | rollouts | a suspended lead does not count as a slow load |
      | rollouts | a server that refuses each order serves in between |

    Examples: confirmations by peers
      | group | case |
      | freshness | a peer's delayed answer is dated by its request |
      | freshness | a peer with a newer version confirms nothing |
      | freshness | a peer that lags confirms nothing |
      | freshness | confirmation ages add up over many daemons |
      | freshness | a daemon does not poll while peers confirm |
      | freshness | unreadable rows confirm nothing |
      | freshness | a gap in the list's changes is detected |
      | freshness | entries that expire in an outage are kept for a while |
      | freshness | a leaving server is announced by readers at once |
      | freshness | a reader that retains expired entries claims no newer list |
      | freshness | a gap is repaired while more updates arrive |
      | freshness | updates sent while entries are retained are applied |
      | freshness | a slow answer does not restore a removed server |
      | freshness | an older update does not replace newer rows |
      | freshness | an entry restored by a peer's update stays |
      | freshness | queued updates are not merged over a gap |

    Examples: log lines
      | group | case |
      | logs | log volume is bounded and requests are logged whole |
      | logs | a stalled log reader blocks nothing |
      | logs | a failed request is explained by its id |
      | logs | a broken stream is explained by its line |
      | logs | an external value forges no log line |

    Examples: long prompts and their cached levels
      | group | case |
      | sourcing | a prompt seen before goes where it is cached |
      | sourcing | cached state is copied from a busy server |
      | sourcing | state that is still being computed is not copied |
      | sourcing | a store is named for levels that may be evicted |
      | sourcing | a store that does not answer is left out |
      | sourcing | partly cached levels count in part |
      | sourcing | small levels are not reported to peers |
      | sourcing | all levels of unknown size are reported |
      | sourcing | an unreported small level does not hide a large one |
      | sourcing | a small first level does not make cached state look old |
      | sourcing | a store that restarts is empty |
      | sourcing | prompts with one opening spread over all engines |
      | sourcing | an engine that comes back idle does not get all requests |
      | sourcing | idle engines are preferred to one with few free slots |
      | sourcing | each part is kept by one of several stores |
      | sourcing | a daemon that knows of no save fetches from the same store |

    Examples: limits of roll-outs
      | group          | case |
      | rollout_bounds | leads that see different waits do not alternate |
      | rollout_bounds | loads past their limit take no more servers out of service |
      | rollout_bounds | a mostly unreachable fleet keeps some in service |
      | rollout_bounds | a late refusal during a store call stops no daemon |
      | rollout_bounds | servers that get no work do not lower the wait |
      | rollout_bounds | a large fleet whose requests end first has new weights in time |

    Examples: daemons of a large fleet
      | group        | case |
      | fleet_bounds | a model is led by a daemon that receives its load reports |
      | fleet_bounds | each daemon of a large fleet may retry |
      | fleet_bounds | a full server is not considered gone |
      | fleet_bounds | load reports in a large fleet arrive in time |
      | fleet_bounds | retries of a fleet stay within their budget |
      | fleet_bounds | a server that reset a call is used last for a while |
      | fleet_bounds | an ejected engine is probed by its watcher only |
      | fleet_bounds | a daemon without reports probes an ejected engine itself |
      | fleet_bounds | a member is gossiped a bounded number of times |

    Examples: starts of test clusters
      | group  | case |
      | starts | a scenario that ends in an error shows its logs |
      | starts | a foreign process on a daemon's port is detected |
      | starts | a failed wait for members shows whom each daemon sees |
      | starts | a daemon that has exited is not waited for |

    Examples: daemons that join
      | group   | case |
      | joining | a daemon that does not listen yet is not advertised |

    Examples: daemons that serve callers
      | group   | case |
      | serving | callers of a large fleet are sent to few daemons |
      | serving | all daemons of a small fleet serve |
      | serving | a lost daemon is replaced by one standby |
      | serving | a restarted fleet has the same serving set |
      | serving | a lost failure domain leaves the others serving |
      | serving | an overloaded daemon adds a standby to the serving set |
      | serving | views that differ choose mostly the same daemons |
      | serving | a fleet that grows past the limit serves all the time |
      | serving | members without a known domain serve |
      | serving | only lasting lag counts as overload |
      | serving | a change of overload reaches other views |
