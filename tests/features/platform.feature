Feature: Routed requests between the platform's callers and servers

  Scenario Outline: <case>
    # Each case opens with its symptom, sequence and cause; see tests/cases.
    When the case "<case>" of "<group>" is played

    Examples: routed requests
      | group  | case |
      | routed | a route without keys is served |
      | routed | many requests without keys are served |
      | routed | a call that may have run is not sent again |
      | routed | a declined call goes to another server |
      | routed | all declined is not run |
      | routed | a failure answer is kept while another server is tried |
      | routed | a failure answer of a call that runs once is final |
      | routed | a stream goes on at another server |
      | routed | a stream that may not be resumed breaks |
      | routed | a silent stream of the other kind is not sent again |
      | routed | a resumable stream without first event moves |
      | routed | the route's time ends a request |
      | routed | a key taken away in the queue is not served |
      | routed | keys are refused once nothing confirms them |
      | routed | an unsafe call outlives its caller |
      | routed | retries stay within their budget |
      | routed | a fleet shares the burst of retries |
      | routed | a dark server is noticed within half a second |
      | routed | a busy service is not asked for each slow answer |
      | routed | a short urgent request passes long ones that are held |
      | routed | a model holds no more than its limit over all ranks |
      | routed | what has no limit is not counted |
      | routed | many daemons ask a silent server in turn |
      | routed | a peer's doubt is a question not an answer |
      | routed | a busy server that answers keeps its requests |
      | routed | a refusal that says not run is true |
      | routed | requests in line stay with a server that lives |
      | routed | a request that was overtaken moves |

    Examples: peers
      | group | case |
      | peers | news arrive in order with their sender |
      | peers | calls are answered |
      | peers | a stranger gets neither answers nor streams |
      | peers | what cannot be read is refused |
      | peers | a server that stops ends its streams at once |
      | peers | what matters at once is told without a stream |
      | peers | ports to listen on are no outgoing ones |
      | peers | ports of processes beside each other differ |
      | peers | demand is told again when a stream breaks |
      | peers | demand that stays is told once |
      | peers | a model's rate is told when it moves |
      | peers | a table passed on is the same table |
      | peers | a damaged table is not taken in |

    Examples: timeouts of callers' connections
      | group    | case |
      | patience | a head that never ends is not waited for |
      | patience | a connection kept for nothing is closed |
      | patience | a request being served is no idle connection |
      | patience | no limit ends nothing |
      | patience | a compressed body is passed on as it came |

    Examples: split and malformed bytes
      | group | case |
      | fuzz  | an answer is whole or none however it is cut |
      | fuzz  | bytes that are no answer are none |
      | fuzz  | events are the same however they are cut |
      | fuzz  | a spoiled request is answered or closed |

    Examples: rows of the instance list
      | group   | case |
      | entries | a bad entry names no server and the others hold |
      | entries | bytes of any kind in a row hurt no other |
      | entries | servers that tell no start are named by their id |
      | entries | of two rows with an address the later start counts |
      | entries | a bad row of weights keeps the version in force |
      | entries | a server that starts again has nothing of before |
      | entries | late news of the start before is dropped |
      | entries | an answer of the start before changes nothing |
      | entries | an order to the start before is not waited for |
      | entries | reports and events bear the start |
      | entries | an engine that tells no weights gets no work |

    Examples: prefill cost of engines
      | group | case |
      | paces | a pace is learnt within seconds |
      | paces | one cached prompt does not make engines look fast |
      | paces | a crowd does not make engines look slow |
      | paces | few samples change nothing |
      | paces | queues look as long as they are |
      | paces | prompts are told by the time they take |

    Examples: weights
      | group   | case |
      | weights | a server back with replaced weights gets no work |
      | weights | each naming ages older weights by itself |
      | weights | older weights serve until they are too old |
      | weights | a late report does not bring old weights back |
      | weights | new weights end a drain |
      | weights | scopes differ by version and isolation |
      | weights | a refused order frees its place |
      | weights | no server left is refused at once |
      | weights | a server that crashes while it loads frees its place |
      | weights | late news of a naming makes no weights young |
      | weights | namings heard of together are of one age |
      | weights | news after a long silence leaves a quarter of the limit |
      | weights | a calm daemon dates a naming a second early at most |

    Examples: connections to backend servers
      | group | case |
      | connections | what is out of time is not sent |
      | connections | what its server wants no more is not sent |
      | connections | another process tells nothing of a server |
      | connections | control calls tell of their server |
      | connections | our own interface hears that a server wants rest |
      | connections | a kept connection is used again |
      | connections | a second answer reaches nobody |
      | connections | a late answer to another is read past |
      | connections | an answer cut short is none |
      | connections | an answer without length ends in order |
      | connections | a server's word that nothing ran is told apart |
      | connections | a body answered early is sent to its end |
      | connections | a stream is cut back to whole events |
      | connections | a stream ends with its server's end |
      | connections | a server that is not there got nothing |
      | connections | a call turned away on connecting got nothing |
      | connections | a connection closed while idle is not used |
      | connections | a cancelled attempt closes its connection |

    Examples: the feed of the store's rows
      | group | case |
      | following | changes are merged and told |
      | following | lost history is read anew |
      | following | a stale reading takes nothing back |
      | following | a long call confirms from its answer on |
      | following | an answer that was held up confirms less |
      | following | an outage keeps what is known |
      | following | a row made and removed unseen is a version |

    Examples: the lead of a model
      | group   | case |
      | leading | servers that may not be ordered are not drained |
      | leading | a roll out begins at once |
      | leading | a row by another writer hides no order |
      | leading | a server that leaves while the store is asked is not ordered |
      | leading | a roll out goes on without pauses |
      | leading | an old fencing number ends the term |
      | leading | a server whose address another has is not ordered again |
      | leading | a server is drained anew for each load |
      | leading | a lead that was cut off takes nothing over unseen |
      | leading | a drain by the lead before is told again |

    Examples: roll-outs over many servers
      | group    | case |
      | rollouts | a roll out under load tells its pace |
      | rollouts | a lead without the store says so once |
      | rollouts | a large fleet under load has new weights in time |
      | rollouts | a small fleet under load spares all but one while there is time |
      | rollouts | servers that get no work are not spared |
      | rollouts | the oldest weights are replaced first |
      | rollouts | slow loads are begun earlier |
      | rollouts | a short load lowers the estimate slowly |
      | rollouts | a refused order counts for its version alone |
      | rollouts | a server with any newer weights is drained no more |
      | rollouts | a late report of older weights is no end of a load |
      | rollouts | held servers without work leave room to those that serve |
      | rollouts | a pause of the lead is no slow load |
      | rollouts | a server that refuses each order serves between them |

    Examples: freshness confirmed by peers
      | group | case |
      | freshness | an answer that waited is not fresh |
      | freshness | a peer with a newer version confirms nothing |
      | freshness | a peer that lags confirms nothing |
      | freshness | ages add up over many daemons |
      | freshness | a daemon rests while peers confirm |
      | freshness | rows that can't be read confirm nothing |
      | freshness | a gap in the list's changes is seen |
      | freshness | entries that lapse in an outage are kept for a while |
      | freshness | a leaving server is told by readers at once |
      | freshness | a reader that keeps entries back claims no newer list |
      | freshness | a gap is read also while more news comes |
      | freshness | what is told while entries are kept back is taken in |
      | freshness | an answer that was long on its way brings nobody back |
      | freshness | older word does not replace what was read here |
      | freshness | an entry that came back by a peer's word stays |
      | freshness | news that waits is not told over a gap |

    Examples: log lines
      | group | case |
      | logs | a flood is bounded and tells whole stories |
      | logs | a reader that stops holds nothing up |
      | logs | a failed request is explained by its id |
      | logs | a value from outside forges no line |

    Examples: long prompts and their cached levels
      | group | case |
      | sourcing | a prompt seen before goes where it is held |
      | sourcing | a busy holder is copied from |
      | sourcing | what is still computed is not copied |
      | sourcing | a store is named for what may have been lost |
      | sourcing | a store that does not answer is left out |
      | sourcing | levels held in part count in part |
      | sourcing | small levels are not told to peers |
      | sourcing | an engine that tells no tokens has all its levels told |
      | sourcing | a small level before a large one is no gap |
      | sourcing | a small level first casts no doubt on its holder |
      | sourcing | a store that starts anew is empty |
      | sourcing | prompts with one opening spread over all engines |
      | sourcing | an engine that comes back idle is not sent everything |
      | sourcing | an engine with few free slots is left for idle ones |
      | sourcing | each part is kept by one of several stores |
      | sourcing | a daemon that heard of no save asks the store that has it |

    Examples: limits of roll-outs
      | group          | case |
      | rollout_bounds | leads that see different waits do not take turns |
      | rollout_bounds | loads longer than their limit take no more out of service |
      | rollout_bounds | a fleet that is mostly away keeps some in service |
      | rollout_bounds | a late refusal while the store is asked ends no daemon |
      | rollout_bounds | servers that get no work do not lower the wait |
      | rollout_bounds | a large fleet whose requests end first has new weights in time |

    Examples: daemons of a large fleet
      | group        | case |
      | fleet_bounds | a model is led by a daemon that hears of its servers |
      | fleet_bounds | each daemon of a large fleet may retry |
      | fleet_bounds | a full server is not taken for gone |
      | fleet_bounds | loads told in a large fleet are news |
      | fleet_bounds | retries of a fleet stay within their budget |
      | fleet_bounds | a server that turned a call away is used last for a while |
      | fleet_bounds | an ejected engine is asked by the daemon that follows it |
      | fleet_bounds | a daemon without reports asks an ejected engine itself |
      | fleet_bounds | a member is passed on a bounded number of times |

    Examples: starts of test clusters
      | group  | case |
      | starts | a scenario that ends in an error shows its logs |
      | starts | a stranger on the port of a daemon is not taken for it |
      | starts | a wait for members tells whom each daemon sees |
      | starts | a daemon that has ended is not waited for |

    Examples: daemons that join
      | group   | case |
      | joining | a daemon that does not listen yet is named to nobody |

    Examples: serving daemons
      | group   | case |
      | serving | callers of a large fleet are sent to few daemons |
      | serving | all daemons of a small fleet serve |
      | serving | a lost daemon is replaced by one that is up to date |
      | serving | a restarted fleet has the same serving set |
      | serving | a lost failure domain leaves the others serving |
      | serving | an overloaded daemon calls in another |
      | serving | views that differ name mostly the same daemons |
      | serving | a fleet that grows through the limit serves all the time |
      | serving | members without a known domain serve |
      | serving | lasting lag alone counts as overload |
      | serving | news of overload reaches other views |
