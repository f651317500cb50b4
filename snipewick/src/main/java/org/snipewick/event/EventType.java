package org.snipewick.event;

import static java.util.Objects.requireNonNull;

import java.util.logging.Level;

/**
 * Catalogue of log events; numbers are never reused. {@code docs/EVENTS.md} lists the same events.
 */
@SuppressWarnings("ImmutableEnumChecker") // java.util.logging.Level never changes
public enum EventType {
  /** The process accepts callers. */
  PROCESS_STARTED(100, Level.INFO, "process started"),
  /** A planned stop began. */
  PROCESS_STOPPING(101, Level.INFO, "planned stop began"),
  /** The process ends after a planned stop. */
  PROCESS_STOPPED(102, Level.INFO, "process stopped"),
  /** Lines of the log were left out: the budget was spent, or the reader too slow. */
  LOG_LINES_DROPPED(103, Level.WARNING, "log lines dropped"),
  /** The settings file was read again because a signal told that it has changed. */
  SETTINGS_RELOADED(104, Level.INFO, "settings reloaded"),
  /** A request was accepted from a caller. */
  REQUEST_RECEIVED(200, Level.FINE, "request received"),
  /** A key was claimed. */
  KEY_CLAIMED(201, Level.FINE, "idempotency key claimed"),
  /** A request with a known key was answered without dispatch. */
  KEY_REPEATED(202, Level.INFO, "repeat answered from memory"),
  /** A request was offered to the scheduler of its pool. */
  REQUEST_OFFERED(203, Level.FINE, "request offered to scheduler"),
  /** A request was granted an endpoint. */
  REQUEST_GRANTED(204, Level.INFO, "request granted an endpoint"),
  /** A request was dispatched to an endpoint. */
  REQUEST_DISPATCHED(205, Level.INFO, "request dispatched"),
  /** The first output token arrived. */
  FIRST_TOKEN(206, Level.FINE, "first token"),
  /** An endpoint's answer is complete. */
  ANSWER_COMPLETE(207, Level.FINE, "answer complete"),
  /** A request was delivered to its caller. */
  REQUEST_DELIVERED(208, Level.INFO, "answer delivered"),
  /** A request ended with a failure. */
  REQUEST_FAILED(209, Level.INFO, "request failed"),
  /** A caller left before its answer was complete. */
  CALLER_LEFT(210, Level.INFO, "caller left"),
  /** A broken stream was resumed. */
  STREAM_RESUMED(211, Level.INFO, "stream resumed"),
  /** A scheduler shed a request. */
  REQUEST_SHED(212, Level.FINE, "request shed"),
  /** A scheduler has a request running or waiting; used to check the order of tiers. */
  REQUEST_QUEUED(213, Level.FINE, "request queued"),
  /** A scheduler granted, refused or cancelled a request, with what it knew. */
  SCHEDULER_DECIDED(214, Level.INFO, "scheduler decided"),
  /** A request is sent to another endpoint, as an attempt failed or was rejected. */
  REQUEST_REPEATED(215, Level.INFO, "request sent again"),
  /** A catalogue change was accepted by the platform. */
  CATALOGUE_ACCEPTED(300, Level.INFO, "catalogue change accepted"),
  /** A catalogue version came into force on this instance. */
  CATALOGUE_IN_FORCE(301, Level.INFO, "catalogue version in force"),
  /** A catalogue change was refused because another came first. */
  CATALOGUE_CONFLICT(302, Level.INFO, "catalogue change conflicts"),
  /** A version of the routing plan came into force on this instance. */
  PLAN_IN_FORCE(303, Level.INFO, "routing plan in force"),
  /** A routing plan, or a part of it, could not be read and was left out. */
  PLAN_MALFORMED(304, Level.WARNING, "routing plan malformed"),
  /** A member of the group changed its state. */
  MEMBER_CHANGED(400, Level.INFO, "member changed"),
  /** This instance lost standing: it was paused or is cut off. */
  STANDING_LOST(401, Level.WARNING, "standing lost"),
  /** This instance gained standing. */
  STANDING_GAINED(402, Level.INFO, "standing gained"),
  /** This instance became scheduler of a pool. */
  POOL_TAKEN_OVER(403, Level.INFO, "pool taken over"),
  /** This instance is no longer scheduler of a pool. */
  POOL_HANDED_OVER(404, Level.INFO, "pool handed over"),
  /** An endpoint changed its state. */
  ENDPOINT_CHANGED(405, Level.INFO, "endpoint changed"),
  /** This instance is registered in the store, where others find it. */
  INSTANCE_REGISTERED(406, Level.INFO, "instance registered"),
  /** The platform stopped answering. */
  PLATFORM_LOST(500, Level.WARNING, "platform unavailable"),
  /** The platform answers again. */
  PLATFORM_REGAINED(501, Level.INFO, "platform available"),
  /** A lost answer to a write was resolved. */
  WRITE_RESOLVED(502, Level.INFO, "doubtful write resolved"),
  /** A lease was taken. */
  LEASE_TAKEN(503, Level.INFO, "lease taken"),
  /** A lease was lost or given up. */
  LEASE_LOST(504, Level.INFO, "lease lost"),
  /** An order was sent to an endpoint. */
  ORDER_SENT(505, Level.INFO, "order sent"),
  /** The writer of the own failure domain did not answer; writes go the direct way. */
  WRITER_SILENT(506, Level.WARNING, "domain writer silent"),
  /** The list of instances can no longer be read; its readers go on with what they know. */
  LIST_LOST(507, Level.WARNING, "instance list unreadable"),
  /** The list of instances can be read again. */
  LIST_REGAINED(508, Level.INFO, "instance list readable"),
  /** A table of the store can no longer be read; what was known of it holds. */
  TABLE_LOST(509, Level.WARNING, "table unreadable"),
  /** A table of the store can be read again. */
  TABLE_REGAINED(510, Level.INFO, "table readable"),
  /** The store no longer knows what changed in a table; all of it is read again. */
  TABLE_HISTORY_LOST(511, Level.INFO, "table history lost"),
  /** A row of the store could not be understood and was left out. */
  ROW_MALFORMED(512, Level.WARNING, "row malformed"),
  /** A peer connection failed or sent a malformed frame. */
  PEER_FAILED(600, Level.WARNING, "peer connection failed"),
  /** A defect of the program was caught. */
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
   * Returns the number of this event.
   *
   * @return stable number
   */
  public int number() {
    return number;
  }

  /**
   * Returns the level at which it is logged.
   *
   * @return level
   */
  public Level level() {
    return level;
  }

  /**
   * Tells whether events of this kind come with each request.
   *
   * @return whether their number grows with the load
   */
  public boolean isAboutRequest() {
    return isAboutRequest(number);
  }

  /**
   * Tells whether events of a number come with each request.
   *
   * @param number number of an event, of this version of the program or another
   * @return whether they are about requests
   */
  public static boolean isAboutRequest(int number) {
    return number / NUMBERS_PER_GROUP == REQUEST_GROUP;
  }

  /**
   * Returns the title.
   *
   * @return short text in English
   */
  public String title() {
    return title;
  }
}
