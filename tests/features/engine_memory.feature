Feature: Requests are placed by the free memory of engines

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/engine_memory.py.
    When the case "<case>" of "<group>" is played

    Examples: placement
      | group | case |
      | engine_memory | an engine with room is preferred to one with less load |
      | engine_memory | memory counts only where it is set for uneven targets |
      | engine_memory | a prompt that fits on no engine is held until one has room |
      | engine_memory | only a prompt above a quarter of the memory is held |
      | engine_memory | a held prompt does not outlive its caller or its deadline |
      | engine_memory | a prompt larger than every engine is refused with 413 |
      | engine_memory | small prompts pass a held one and leave its engine free |
      | engine_memory | a prompt that fits nowhere spares the engine kept free |
      | engine_memory | an engine too small for a prompt is not kept free |
      | engine_memory | a held prompt counts against its workspace |

    Examples: estimate
      | group | case |
      | engine_memory | a shared part counts once |
      | engine_memory | requests count from their announcement until they end |
      | engine_memory | a claim counts across reports until it is not renewed |
      | engine_memory | an answer counts as its caller expects it |
      | engine_memory | a waiting request is not part of the memory in use |
      | engine_memory | an engine that restarts is empty |
      | engine_memory | copies and evictions follow from memory and links |
      | engine_memory | a report survives fields of other types |
      | engine_memory | reports of memory reach other daemons |

    Examples: replayed load
      | group | case |
      | engine_memory | preemptions fall and neither large nor small prompts starve |
