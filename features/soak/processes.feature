Feature: Gateway processes under faults keep their promises, and broken ones are seen

  Scenario: A short run with a fixed seed
    When gateway processes run with seed 7 for 4 s of faults
    Then no promise is broken
    And service came back and at least 100 requests were served
    And no process of the run is left

  Scenario Outline: A broken promise is reported: <sight>
    Given a judge that knows a request of kind <kind>
    When it sees <sight>
    Then it reports <promise>

    Examples:
      | kind   | sight                                          | promise    |
      | safe   | a run that nobody asked for                    | unasked    |
      | safe   | a run with another body                        | unasked    |
      | safe   | a run as another customer                      | unasked    |
      | safe   | a run with the caller's key                    | unasked    |
      | unsafe | a second run                                   | twice      |
      | once   | a second run                                   | twice      |
      | safe   | a third run                                    | budget     |
      | unsafe | a run with 6 s where the caller waits 4 s      | budget     |
      | safe   | a second run 1 s later with the whole time     | budget     |
      | unsafe | a refusal after a run                          | refused    |
      | unsafe | a run after a refusal                          | refused    |
      | unsafe | 5 runs after callers have left                 | gone       |
      | unsafe | an answer of another request                   | mixed      |
      | unsafe | an answer without signature                    | mixed      |
      | unsafe | an answer with other bytes                     | mixed      |
      | unsafe | a signed failure that no upstream gave         | mixed      |
      | stream | a stream without its third event               | order      |
      | stream | a stream with an event twice                   | order      |
      | safe   | status 404                                     | denied     |
      | safe   | a run on a service of no configuration         | route      |
      | safe   | a run on a service that was moved from long ago | config     |
      | safe   | a run on an upstream that left long ago        | drain      |
      | safe   | a run on an upstream that left 8 s ago, in an outage of the store | drain |
      | safe   | a run in a domain that was out for long        | evacuation |
      | unsafe | no answer after a run                          | lost       |
      | unsafe | no answer at its deadline                      | config     |

  Scenario Outline: What the bounds allow is not reported: <sight>
    Given a judge that knows a request of kind <kind>
    When it sees <sight>
    Then it reports nothing

    Examples:
      | kind   | sight                                               |
      | safe   | two runs and the answer of one                      |
      | safe   | a second run 1 s later with the rest of the time    |
      | safe   | a run 1 s late with the whole time                  |
      | stream | a whole stream                                      |
      | unsafe | no answer while its upstream was disturbed          |
      | unsafe | no answer before it ran                             |
      | safe   | a run on an upstream that left just now             |
      | safe   | a run on an upstream that left 6 s ago, in an outage of the store |
      | safe   | a run on an upstream that left, by a paused gateway |
      | unsafe | 3 runs after callers have left                      |

  Scenario: A bad version that is completed is reported
    Given a judge that knows a request of kind safe
    When a bad version is completed
    Then it reports upgrade

  Scenario Outline: A size out of its range is told
    When a soak of processes is asked for with <name> <value>
    Then the error names <name> and its range

    Examples:
      | name       | value |
      | n_gateways | 0     |
      | n_callers  | 501   |
      | seconds    | 0     |
