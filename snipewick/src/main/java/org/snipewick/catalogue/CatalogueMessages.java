package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;

/** Peer messages that propagate changes of the catalogue. */
public final class CatalogueMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of(
          "cp", Push.class,
          "cr", Relay.class,
          "ca", Confirmation.class,
          "cf", Fetch.class,
          "cd", Changes.class,
          "cs", Snapshot.class);

  private CatalogueMessages() {}

  /**
   * Request to apply an accepted change on the receiver only.
   *
   * @param version catalogue version that the change created
   * @param change accepted change
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Push(long version, Change change) implements PeerMessage {

    Push {
      requireNonNull(change, "change");
    }
  }

  /**
   * Request to apply an accepted change and to send it to all other instances of the receiver's
   * failure domain.
   *
   * @param version catalogue version that the change created
   * @param change accepted change
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Relay(long version, Change change) implements PeerMessage {

    Relay {
      requireNonNull(change, "change");
    }
  }

  /**
   * Reply to {@link Push} or {@link Relay}.
   *
   * @param inForce instances on which the change is in force
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Confirmation(List<InstanceId> inForce) implements PeerMessage {

    Confirmation {
      inForce = List.copyOf(inForce);
    }
  }

  /**
   * Request for all changes after a version.
   *
   * @param after version in force on the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Fetch(long after) implements PeerMessage {}

  /**
   * Reply to {@link Fetch} with the missing changes.
   *
   * @param after version that the first change applies to
   * @param changes changes of consecutive versions, in order
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Changes(long after, List<Change> changes) implements PeerMessage {

    Changes {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Reply to {@link Fetch} with the whole catalogue, if some of the missing changes are no longer
   * cached.
   *
   * @param version version of the catalogue
   * @param entries all entries
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Snapshot(long version, List<Entry> entries) implements PeerMessage {

    Snapshot {
      entries = List.copyOf(entries);
    }
  }
}
