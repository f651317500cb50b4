package org.snipewick.event;

import static java.util.Objects.requireNonNull;

import java.util.logging.Level;

/** Type of a log event. Numbers are never reused; {@code docs/EVENTS.md} lists the same events. */
@SuppressWarnings("ImmutableEnumChecker") // java.util.logging.Level never changes
public enum EventType {
  /** The process accepts callers. */
  PROCESS_STARTED(100, Level.INFO, "process started"),
  /** A planned stop began. */
  PROCESS_STOPPING(101, Level.INFO, "planned stop began"),
  /** The process ends after a planned stop. */
  PROCESS_STOPPED(102, Level.INFO, "process stopped"),
  /** Log lines were dropped: the rate limit was reached, or the log's reader was too slow. */
  LOG_LINES_DROPPED(103, Level.WARNING, "log lines dropped"),
  /** The settings file was read again after a signal; changes take effect at the next start. */
  SETTINGS_RELOADED(104, Level.INFO, "settings reloaded"),
  /** A request was accepted from a caller. */
  REQUEST_RECEIVED(200, Level.FINE, "request received"),
  /** An idempotency key was claimed for a request. */
  KEY_CLAIMED(201, Level.FINE, "idempotency key claimed"),
  /** A duplicate request was answered from the record of its idempotency key, without dispatch. */
  KEY_REPEATED(202, Level.INFO, "repeat answered from memory"),
  /** A request was offered to the scheduler of its pool. */
  REQUEST_OFFERED(203, Level.FINE, "request offered to scheduler"),
  /** A scheduler granted an endpoint to a request. */
  REQUEST_GRANTED(204, Level.INFO, "request granted an endpoint"),
  /** A request was dispatched to an endpoint. */
  REQUEST_DISPATCHED(205, Level.INFO, "request dispatched"),
  /** The first output token was received from the endpoint. */
  FIRST_TOKEN(206, Level.FINE, "first token"),
  /** An endpoint's response is complete. */
  ANSWER_COMPLETE(207, Level.FINE, "answer complete"),
  /** The response to a request was delivered to its caller. */
  REQUEST_DELIVERED(208, Level.INFO, "answer delivered"),
  /** A request ended with a failure. */
  REQUEST_FAILED(209, Level.INFO, "request failed"),
  /** A caller closed its connection before its response was complete. */
  CALLER_LEFT(210, Level.INFO, "caller left"),
  /** A broken stream was resumed. */
  STREAM_RESUMED(211, Level.INFO, "stream resumed"),
  /** A scheduler shed a request under load. */
  REQUEST_SHED(212, Level.FINE, "request shed"),
  /**
   * A request started to wait at a scheduler, or stopped other than by being shed; used to check
   * that requests of lower tiers are shed first.
   */
  REQUEST_QUEUED(213, Level.FINE, "request queued"),
  /**
   * A scheduler granted, refused or cancelled a request; the details hold the state it decided on.
   */
  SCHEDULER_DECIDED(214, Level.INFO, "scheduler decided"),
  /** A request is retried at another endpoint because an attempt failed or was rejected. */
  REQUEST_REPEATED(215, Level.INFO, "request sent again"),
  /**
   * An endpoint closed or reset a connection before its response was complete, or what it sent is
   * not a response; the details name the broken rule.
   */
  RESPONSE_BROKEN(216, Level.INFO, "response broke off"),
  /** A second attempt of a request, whose response was slow, was sent to another endpoint. */
  HEDGE_SENT(217, Level.INFO, "hedge sent"),
  /** The response of a second attempt is used; the first attempt failed or was cancelled. */
  HEDGE_WON(218, Level.INFO, "hedge won"),
  /** A second attempt failed or was cancelled, as the first one responded. */
  HEDGE_LOST(219, Level.INFO, "hedge lost"),
  /** A catalogue change was accepted by the platform. */
  CATALOGUE_ACCEPTED(300, Level.INFO, "catalogue change accepted"),
  /** A catalogue version took effect on this instance. */
  CATALOGUE_IN_FORCE(301, Level.INFO, "catalogue version in force"),
  /** A catalogue change was refused because another change was accepted before it. */
  CATALOGUE_CONFLICT(302, Level.INFO, "catalogue change conflicts"),
  /** A version of the routing plan took effect on this instance. */
  PLAN_IN_FORCE(303, Level.INFO, "routing plan in force"),
  /** A routing plan, or a part of it, could not be parsed and was ignored. */
  PLAN_MALFORMED(304, Level.WARNING, "routing plan malformed"),
  /** The membership state of an instance changed. */
  MEMBER_CHANGED(400, Level.INFO, "member changed"),
  /** This instance became inactive: it was paused or is cut off from its peers. */
  STANDING_LOST(401, Level.WARNING, "standing lost"),
  /** This instance became active. */
  STANDING_GAINED(402, Level.INFO, "standing gained"),
  /** This instance became the scheduler of a pool. */
  POOL_TAKEN_OVER(403, Level.INFO, "pool taken over"),
  /** This instance is no longer the scheduler of a pool. */
  POOL_HANDED_OVER(404, Level.INFO, "pool handed over"),
  /** The state of an endpoint changed. */
  ENDPOINT_CHANGED(405, Level.INFO, "endpoint changed"),
  /** This instance is registered in the store, where its peers find it. */
  INSTANCE_REGISTERED(406, Level.INFO, "instance registered"),
  /** Another instance collects the reports of this one from now on. */
  COLLECTOR_CHANGED(407, Level.INFO, "collector changed"),
  /** A prompt part was convicted of crashing endpoints; requests with it are refused. */
  PART_QUARANTINED(408, Level.WARNING, "prompt part quarantined"),
  /** A prompt part is no longer in quarantine. */
  PART_RELEASED(409, Level.INFO, "prompt part released"),
  /** An endpoint named the rate of requests that it takes, changed it, or no longer names one. */
  ENDPOINT_LIMITED(410, Level.INFO, "endpoint limited"),
  /** Another instance places the requests of a pool for this one from now on. */
  BROKER_CHANGED(411, Level.INFO, "broker changed"),
  /** A broker does not reply; this instance places its requests itself. */
  BROKER_SILENT(412, Level.WARNING, "broker silent"),
  /** A broker no longer knows the requests that it placed; this instance counts them itself. */
  BROKER_SESSION_LOST(413, Level.INFO, "broker session lost"),
  /** This broker dropped the requests of an instance that is gone or silent. */
  REQUESTER_DROPPED(414, Level.INFO, "requester dropped"),
  /** The instances that read the store for this failure domain changed, or the part of this one. */
  STORE_READERS_CHANGED(415, Level.INFO, "store readers changed"),
  /** A reader of the store did not serve this instance as agreed; others are used until it does. */
  STORE_READER_SUSPENDED(416, Level.INFO, "store reader suspended"),
  /** A suspended reader of the store serves this instance again. */
  STORE_READER_RESUMED(417, Level.INFO, "store reader resumed"),
  /** An order to move a pool to another version has started. */
  ROLLOUT_STARTED(420, Level.INFO, "rollout started"),
  /** All requests to a pool go to the new version from now on. */
  ROLLOUT_MOVING(421, Level.INFO, "rollout moves all requests"),
  /** The new version of a pool is the one in use. */
  ROLLOUT_COMPLETE(422, Level.INFO, "rollout complete"),
  /** The new version of a pool receives nothing any more; the reason is in the details. */
  ROLLOUT_ROLLED_BACK(423, Level.WARNING, "rollout rolled back"),
  /** An order of the operator could not be parsed and was ignored. */
  ROLLOUT_ORDER_MALFORMED(424, Level.WARNING, "rollout order malformed"),
  /** The platform no longer responds. */
  PLATFORM_LOST(500, Level.WARNING, "platform unavailable"),
  /** The platform responds again. */
  PLATFORM_REGAINED(501, Level.INFO, "platform available"),
  /** An ambiguous write, whose response was lost, was resolved. */
  WRITE_RESOLVED(502, Level.INFO, "doubtful write resolved"),
  /** A lease was acquired. */
  LEASE_TAKEN(503, Level.INFO, "lease taken"),
  /** A lease was lost or released. */
  LEASE_LOST(504, Level.INFO, "lease lost"),
  /** An order was sent to an endpoint. */
  ORDER_SENT(505, Level.INFO, "order sent"),
  /**
   * The writer of the local failure domain did not reply; writes are sent directly to the store.
   */
  WRITER_SILENT(506, Level.WARNING, "domain writer silent"),
  /** The list of instances can no longer be read; its readers continue with the cached state. */
  LIST_LOST(507, Level.WARNING, "instance list unreadable"),
  /** The list of instances can be read again. */
  LIST_REGAINED(508, Level.INFO, "instance list readable"),
  /** A table of the store can no longer be read; its cached state remains in use. */
  TABLE_LOST(509, Level.WARNING, "table unreadable"),
  /** A table of the store can be read again. */
  TABLE_REGAINED(510, Level.INFO, "table readable"),
  /** The store no longer holds the changes of a table; the whole table is read again. */
  TABLE_HISTORY_LOST(511, Level.INFO, "table history lost"),
  /** A row of the store could not be parsed and was ignored. */
  ROW_MALFORMED(512, Level.WARNING, "row malformed"),
  /** The store was restored from an older copy; its latest writes are lost. */
  STORE_ERA_CHANGED(513, Level.WARNING, "store restored from older copy"),
  /** A response of the store names an invalid era and counts as one that names none. */
  STORE_ERA_INVALID(514, Level.WARNING, "store era invalid"),
  /** A peer connection failed or sent a malformed frame. */
  PEER_FAILED(600, Level.WARNING, "peer connection failed"),
  /**
   * The maximum number of callers' connections was reached; connections without a complete request
   * were closed.
   */
  CONNECTIONS_LIMITED(601, Level.WARNING, "caller connections limited"),
  /** Incomplete bodies of requests without progress lost their memory to other requests. */
  BODY_GAVE_WAY(602, Level.WARNING, "incomplete bodies gave way"),
  /** An error was caught that is a defect of the program. */
  INTERNAL_ERROR(900, Level.SEVERE, "internal error");

  private static final int NUMBERS_PER_GROUP = 100;
  private static final int REQUEST_GROUP = 2;

  private final int number;
  private final Level level;
  private final String title;

  EventType(int number, Level level, String title) {
    this.number = number;
    this.level = requireNonNull(level, "level");
    this.title = requireNonNull(title, "title");
  }

  /**
   * Returns the number of this event type.
   *
   * @return number, unique and the same in all versions of the program
   */
  public int number() {
    return number;
  }

  /**
   * Returns the level at which events of this type are logged.
   *
   * @return level
   */
  public Level level() {
    return level;
  }

  /**
   * Returns whether events of this type are recorded for each request.
   *
   * @return whether the number of such events grows with the load
   */
  public boolean isAboutRequest() {
    return isAboutRequest(number);
  }

  /**
   * Returns whether events of the given number are recorded for each request.
   *
   * @param number number of an event type, of this version of the program or another
   * @return whether they concern requests
   */
  public static boolean isAboutRequest(int number) {
    return number / NUMBERS_PER_GROUP == REQUEST_GROUP;
  }

  /**
   * Returns the title, which is the message of the log line.
   *
   * @return short text in English
   */
  public String title() {
    return title;
  }
}
