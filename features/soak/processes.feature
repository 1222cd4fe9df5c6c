Feature: Gateway processes keep their guarantees under faults, and broken ones are reported

  Scenario: A short run with a fixed seed
    When gateway processes run with seed 7 for 4 s of faults
    Then no guarantee is broken
    And service recovered and at least 100 requests were served
    And no child process of the run is left

  Scenario Outline: A broken guarantee is reported: <observation>
    Given a guarantee checker with a sent request of kind <kind>
    When it observes <observation>
    Then it reports <guarantee>

    Examples:
      | kind   | observation                                                 | guarantee  |
      | safe   | a run of a request that no caller sent                      | unasked    |
      | safe   | a run with a changed body                                   | unasked    |
      | safe   | a run as another customer                                   | unasked    |
      | safe   | a run that received the caller's key                        | unasked    |
      | unsafe | a second run                                                | twice      |
      | once   | a second run                                                | twice      |
      | safe   | a third run                                                 | budget     |
      | unsafe | a run with a deadline of 6 s where the caller waits 4 s     | budget     |
      | safe   | a second run 1 s later with the full deadline               | budget     |
      | unsafe | a refusal after a run                                       | refused    |
      | unsafe | a run after a refusal                                       | refused    |
      | unsafe | 5 runs too long after their callers left                    | gone       |
      | unsafe | an answer to another request                                | mixed      |
      | unsafe | an answer without a signature                               | mixed      |
      | unsafe | an answer with a changed body                               | mixed      |
      | unsafe | a signed failure that no upstream sent                      | mixed      |
      | stream | a stream without its third event                            | order      |
      | stream | a stream with a repeated event                              | order      |
      | safe   | status 404                                                  | denied     |
      | safe   | a run on a service that was never configured                | route      |
      | safe   | a run on a service that was replaced long ago               | config     |
      | safe   | a run on an upstream drained too long ago                   | drain      |
      | safe   | a run on an upstream drained 8 s ago, during a store outage | drain      |
      | safe   | a run in a store outage on an upstream drained 4 s before it | drain      |
      | safe   | a run in a failure domain evacuated too long ago            | evacuation |
      | safe   | a run 2.5 s after the upstream announced its end            | drain      |
      | safe   | 3 runs at an upstream that wants none                       | budget     |
      | safe   | 3 rejections by an upstream that wants no requests          | budget     |
      | safe   | a return to a service that was replaced just now            | config     |
      | once   | 4 runs with a part known to crash upstreams                 | budget     |
      | stream | 4 runs of a request known to crash upstreams                | budget     |
      | stream | a failure of a request that has crashed 2 upstreams         | lost       |
      | safe   | 12 runs at an upstream that takes 11                        | limit      |
      | unsafe | no answer after a run                                       | lost       |
      | unsafe | no answer by the deadline                                   | config     |
      | stream | a cut stream of a sound upstream beside one that fails      | lost       |
      | stream | a failure in place of a sound upstream's answer             | lost       |
      | unsafe | no answer after a run at a gateway that stopped as planned  | lost       |
      | unsafe | no answer after a run while the store was disrupted         | lost       |
      | unsafe | an unanswered request that the gateway must have read       | lost       |
      | unsafe | a cut 7 s after the stop of its gateway began, sent at 3.5 s | lost      |
      | unsafe | a cut 6 s after the stop of its gateway began, sent at 2.5 s | lost      |
      | unsafe | no answer after a run at the end of a timeout that was raised before | lost |

  Scenario Outline: Behaviour within the bounds is not reported: <observation>
    Given a guarantee checker with a sent request of kind <kind>
    When it observes <observation>
    Then it reports nothing

    Examples:
      | kind   | observation                                                 |
      | safe   | two runs and the answer of one of them                      |
      | safe   | a second run 1 s later with the remaining deadline          |
      | safe   | a first run 1 s after sending with the full deadline        |
      | stream | a complete stream                                           |
      | unsafe | no answer while the upstream was disrupted                  |
      | unsafe | no answer without a run                                     |
      | stream | no answer after a run at a faulty upstream                  |
      | unsafe | no answer after a run at a gateway that was killed          |
      | stream | no answer after a run while the store was disrupted         |
      | unsafe | an unanswered request that the caller read late             |
      | unsafe | a cut 6.7 s after the stop of its gateway began, sent at 2.9 s |
      | stream | a complete stream with comments                             |
      | unsafe | an unanswered request that was sent to an ended process     |
      | unsafe | no answer after a run at the end of the deadline            |
      | unsafe | no answer after a run at the end of the route's timeout     |
      | unsafe | no answer after a run at the end of a timeout that was raised just now |
      | safe   | a run on an upstream drained just now                       |
      | safe   | a run on an upstream drained 6 s ago, during a store outage |
      | safe   | a run on a drained upstream by a paused gateway             |
      | safe   | a run in a store outage on an upstream drained 1 s before it |
      | unsafe | 3 runs too long after their callers left                    |
      | safe   | a run 1.5 s after the upstream announced its end            |
      | safe   | a run after a new start of an upstream that announced its end |
      | safe   | a run by a gateway that was started again after the announcement |
      | safe   | 2 runs at an upstream that wants none                       |
      | once   | 3 runs with a part known to crash upstreams                 |
      | once   | 4 runs with a part that has just crashed upstreams          |
      | stream | 3 runs of a request known to crash upstreams                |
      | stream | 4 runs of a request that has just crashed upstreams         |
      | stream | a failure of a request that has crashed 3 upstreams         |
      | safe   | 11 runs at an upstream that takes 11                        |
      | safe   | 12 runs by a gateway that wasn't told the limit             |
      | safe   | 3 runs at an upstream whose time is over                    |
      | safe   | 3 runs at an upstream that has started again since          |

  Scenario: A completed upgrade to a bad version is reported
    Given a guarantee checker with a sent request of kind safe
    When an upgrade to a bad version is completed
    Then it reports upgrade

  Scenario Outline: A setting outside its range is rejected
    When a soak of processes is started with <name> <value>
    Then the error names <name> and its range

    Examples:
      | name       | value |
      | n_gateways | 0     |
      | n_callers  | 501   |
      | seconds    | 0     |

  Scenario: A run with the faults that close upstreams and restore the store
    When gateway processes run with seed 5 for 6 s of StoreRestore,UpstreamLeaving,UpstreamSpoilt
    Then no guarantee is broken
    And service recovered and at least 100 requests were served

  Scenario: A run with long configurations and prompts that crash upstreams
    When gateway processes run with seed 4 for 12 s of ConfigurationGrown,PromptPartCrash,GatewayKill
    Then no guarantee is broken
    And service recovered and at least 100 requests were served

  Scenario: A run with upstreams that fall silent while others fail loses no answer
    When gateway processes run with seed 512 for 10 s of UpstreamsSilent,ServiceSpoilt,GatewayStop
    Then no guarantee is broken
    And service recovered and at least 100 requests were served

  Scenario: An unknown kind of disruption is rejected
    When a soak of processes is started with the kinds StoreRestore,Earthquake
    Then the error names the kinds and the unknown Earthquake

  Scenario: A run with a request that crashes upstreams while gateways are killed
    When gateway processes run with seed 33 for 20 s of RequestCrash,PromptPartCrash,GatewayKill
    Then no guarantee is broken
    And service recovered and at least 100 requests were served

  Scenario: A run with upstreams that name a limit while gateways stop
    When gateway processes run with seed 8 for 12 s of UpstreamLimited,GatewayStop,ConnectionsLost
    Then no guarantee is broken
    And service recovered and at least 100 requests were served
