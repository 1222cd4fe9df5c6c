Feature: The controller orders engines to load and unload versions while it holds its lease

  Background:
    Given an engine that has loaded "v1" and is configured to serve "v1 v2"

  Scenario Outline: <case>
    Given that <component> is <state>
    When the controller runs its loads for <time> s
    Then the agent received <orders> and <requested> loads were requested from the weight store

    Examples:
      | case                                                         | component        | state                                     | time | orders      | requested |
      | A load is ordered once                                       | nothing          | wrong                                     | 100  | load v2     | 1         |
      | An order without effect is sent again                        | the engine       | ignoring accepted orders                  | 130  | load v2x2   | 2         |
      | The lease is lost before the run                             | the lease        | lost                                      | 100  | none        | 0         |
      | The lease is lost during the request to the weight store     | the lease        | lost during the reservation               | 100  | none        | 1         |
      | The weight store refuses a load for a time                   | the weight store | refusing for 30 s                         | 25   | none        | 1         |
      | The weight store grants the load after that time             | the weight store | refusing for 30 s                         | 60   | load v2     | 2         |
      | The weight store fails and is asked again                    | the weight store | failing                                   | 12   | none        | 3         |
      | The weight store hangs and is asked again                    | the weight store | hanging                                   | 12   | none        | 2         |
      | An order without a reply is sent again                       | the agent        | silent at first                           | 100  | load v2x2   | 2         |
      | An order that never gets a reply is sent with growing delays | the agent        | silent                                    | 100  | load v2x5   | 5         |
      | An order that hangs is sent again                            | the agent        | hanging at first                          | 100  | load v2x2   | 2         |
      | A load refused for lack of memory is not sent again soon     | the engine       | out of memory                             | 100  | load v2     | 1         |
      | An engine that does not report its versions gets no order    | the engine       | not reporting its versions                | 100  | none        | 0         |
      | An engine that is down gets no order                         | the engine       | down                                      | 100  | none        | 0         |
      | An engine outside the subset gets no order                   | the engine       | outside the subset                        | 100  | none        | 0         |
      | A withdrawn version is unloaded                              | the engine       | holding a version that is withdrawn       | 100  | unload v1   | 0         |
      | An unload without effect is ordered again                    | the engine       | not unloading a version that is withdrawn | 15   | unload v1x2 | 0         |
      | The lease is lost before an unload                           | the lease        | lost when a version is withdrawn          | 100  | none        | 0         |

  Scenario: The agent refuses the order of a controller with an older lease number
    Given that the engine's agent has seen the number 8
    When the controller with number 7 runs its loads for 5 s
    Then the engine received no order

  Scenario Outline: A report that "<loaded>" is loaded makes the entry route "<serves>" to the engine
    When the agent reports that "<loaded>" is loaded and then the revision changes
    Then the entry's upstream row serves "<serves>"

    Examples:
      | loaded  | serves |
      | unknown | v1 v2  |
      | nothing |        |
      | v2      | v2     |
      | v2 v9   | v2     |

  Scenario: An engine behind a running entry loads a missing version and then answers with it
    Given a running entry with an engine that has loaded "v1" of its versions "v1 v2"
    When a chat request for "v2" is sent as soon as the entry routes that version
    Then it is answered by "v2" and the engine received one order
