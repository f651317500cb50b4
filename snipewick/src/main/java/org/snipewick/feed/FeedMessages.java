package org.snipewick.feed;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.snipewick.peer.PeerMessage;
import org.snipewick.store.EraTracker;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;

/** Messages between the readers of the store and their followers. */
public final class FeedMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("kq", Query.class, "kr", Reply.class);

  private FeedMessages() {}

  /**
   * Query of a follower for the changes of a table since a version.
   *
   * @param table name of the table
   * @param version version of the store after which changes are wanted
   * @param waitMillis maximum time to wait for a change or a newer proof, in milliseconds
   * @param proofNumber number of the latest proof received from this reader; 0 if there is none
   * @param era era of the store to which the version belongs
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Query(String table, long version, long waitMillis, long proofNumber, long era)
      implements PeerMessage {

    /** Checks that the table is not null. */
    public Query {
      requireNonNull(table, "table");
    }
  }

  /** Kind of a reply; the short names on the wire must stay stable. */
  public enum Status {
    /** The reply contains all changes since the version, possibly none, and a proof. */
    @JsonProperty("c")
    CHANGES,
    /** The reader does not keep the changes since that version, or not in that era. */
    @JsonProperty("l")
    HISTORY_LOST,
    /** The version is newer than what the reader has read. */
    @JsonProperty("b")
    BEHIND,
    /** The reader cannot read the table at present. */
    @JsonProperty("u")
    UNAVAILABLE,
    /** The receiver does not consider itself a reader, or does not know the table. */
    @JsonProperty("n")
    NOT_READER
  }

  /**
   * Row in a reply.
   *
   * @param key key of the row, in the partition with the empty name
   * @param value content
   * @param version number of the transaction that wrote it
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @SuppressWarnings("ArrayRecordComponent") // never compared; copied by TableRow
  public record Row(String key, byte[] value, long version) {

    /** Checks that no component is null. */
    public Row {
      requireNonNull(key, "key");
      requireNonNull(value, "value");
    }
  }

  /**
   * Reply to a {@link Query}; all components but the status matter only for {@link Status#CHANGES}.
   *
   * @param status kind of the reply
   * @param written rows that were inserted or replaced
   * @param removedKeys keys of rows that were deleted
   * @param version version of the store up to which the changes are complete
   * @param proofOffset time of the proof minus the arrival of the query, by the reader's clocks;
   *     may be negative
   * @param proofNumber number of the proof, which differs between the proofs of a reader
   * @param era era of the store to which the version belongs
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Reply(
      Status status,
      List<Row> written,
      List<String> removedKeys,
      long version,
      Duration proofOffset,
      long proofNumber,
      long era)
      implements PeerMessage {

    /** Copies the lists. */
    public Reply {
      requireNonNull(status, "status");
      requireNonNull(proofOffset, "proofOffset");
      written = List.copyOf(written);
      removedKeys = List.copyOf(removedKeys);
    }

    /** Returns a reply without changes and proof. */
    static Reply of(Status status) {
      return new Reply(status, List.of(), List.of(), 0, Duration.ZERO, 0, EraTracker.NO_ERA);
    }

    /** Returns a reply with changes and a proof. */
    static Reply of(RowChanges.Delta delta, Duration proofOffset, long proofNumber) {
      List<Row> rows =
          delta.written().stream()
              .map(row -> new Row(row.key(), row.value(), row.version()))
              .toList();
      return new Reply(
          Status.CHANGES,
          rows,
          delta.removedKeys(),
          delta.version(),
          proofOffset,
          proofNumber,
          delta.era());
    }

    /** Returns the changes. */
    RowChanges.Delta delta() {
      List<TableRow> rows =
          written.stream()
              .map(row -> new TableRow("", row.key(), row.value(), row.version()))
              .toList();
      return new RowChanges.Delta(rows, removedKeys, version, era);
    }
  }
}
