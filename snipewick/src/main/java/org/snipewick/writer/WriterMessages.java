package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewick.peer.PeerMessage;
import org.snipewick.store.Row;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** Peer messages between the instances of a failure domain and its writer. */
public final class WriterMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("wb", Batch.class, "wr", Results.class, "wn", NotWriter.class);

  private WriterMessages() {}

  /**
   * Writes that an instance sends to the writer, which sends them to the platform.
   *
   * @param operations the writes, each under its own condition
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Batch(List<Operation> operations) implements PeerMessage {

    Batch {
      operations = List.copyOf(operations);
    }
  }

  /**
   * Answer of the writer to a batch.
   *
   * @param answers one answer for each write, in the order of the batch
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Results(List<Answer> answers) implements PeerMessage {

    Results {
      answers = List.copyOf(answers);
    }
  }

  /** Answer of an instance that is not the writer; it has sent no write of the batch. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record NotWriter() implements PeerMessage {}

  /**
   * One conditional write.
   *
   * @param kind kind of change to the row
   * @param key key of the row
   * @param version version that the row must have, 0 for an insertion
   * @param value content, empty for a deletion
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Operation(Kind kind, String key, long version, String value) {

    Operation {
      requireNonNull(kind, "kind");
      requireNonNull(key, "key");
      requireNonNull(value, "value");
    }

    static Operation of(Write write) {
      if (write instanceof Write.Insert insert) {
        return new Operation(Kind.INSERT, insert.key(), 0, insert.value());
      }
      if (write instanceof Write.Replace replace) {
        return new Operation(Kind.REPLACE, replace.key(), replace.version(), replace.value());
      }
      Write.Delete delete = (Write.Delete) write;
      return new Operation(Kind.DELETE, delete.key(), delete.version(), "");
    }

    Write toWrite() {
      return switch (kind) {
        case INSERT -> Write.insert(key, value);
        case REPLACE -> Write.replace(key, version, value);
        case DELETE -> Write.delete(key, version);
      };
    }
  }

  /**
   * Result of one write.
   *
   * @param outcome kind of result
   * @param version version of the row after a write that was applied, otherwise 0
   * @param current the row that was in conflict, if it exists
   * @param detail reason why a write was rejected or is ambiguous, otherwise empty
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Answer(
      WriteResultKind outcome, long version, Optional<CurrentRow> current, String detail) {

    Answer {
      requireNonNull(outcome, "outcome");
      requireNonNull(current, "current");
      requireNonNull(detail, "detail");
    }

    static Answer of(WriteResult result) {
      if (result instanceof WriteResult.Applied applied) {
        return new Answer(WriteResultKind.APPLIED, applied.version(), Optional.empty(), "");
      }
      if (result instanceof WriteResult.Conflict conflict) {
        return new Answer(WriteResultKind.CONFLICT, 0, conflict.current().map(CurrentRow::of), "");
      }
      if (result instanceof WriteResult.Rejected rejected) {
        return new Answer(WriteResultKind.REJECTED, 0, Optional.empty(), rejected.detail());
      }
      WriteResult.Ambiguous ambiguous = (WriteResult.Ambiguous) result;
      return new Answer(WriteResultKind.AMBIGUOUS, 0, Optional.empty(), ambiguous.detail());
    }

    WriteResult toResult(String key) {
      return switch (outcome) {
        case APPLIED -> new WriteResult.Applied(version);
        case CONFLICT -> new WriteResult.Conflict(current.map(row -> row.toRow(key)));
        case REJECTED -> new WriteResult.Rejected(detail);
        case AMBIGUOUS -> new WriteResult.Ambiguous(detail);
      };
    }
  }

  /**
   * Current row without its key, which the receiver has from its own request.
   *
   * @param version version of the row
   * @param value content
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record CurrentRow(long version, String value) {

    CurrentRow {
      requireNonNull(value, "value");
    }

    static CurrentRow of(Row row) {
      return new CurrentRow(row.version(), row.value());
    }

    Row toRow(String key) {
      return new Row(key, version, value);
    }
  }

  /** Kind of change to a row. */
  @JsonFormat(shape = JsonFormat.Shape.NUMBER)
  enum Kind {
    /** Inserts the row if it is absent. */
    INSERT,
    /** Replaces the row if it has the version. */
    REPLACE,
    /** Deletes the row if it has the version. */
    DELETE
  }

  /** Kind of result. */
  @JsonFormat(shape = JsonFormat.Shape.NUMBER)
  enum WriteResultKind {
    /** The write took effect. */
    APPLIED,
    /** The condition did not hold. */
    CONFLICT,
    /** The write certainly had no effect. */
    REJECTED,
    /** It is unknown whether the write took effect. */
    AMBIGUOUS
  }
}
