package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;

/** Messages that spread the catalogue. */
public final class CatalogueMessages {
  /** Message types by stable name. */
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
   * Hands an accepted change to one instance.
   *
   * @param version version that it made
   * @param change content
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Push(long version, Change change) implements PeerMessage {

    Push {
      requireNonNull(change, "change");
    }
  }

  /**
   * Asks an instance to hand an accepted change to all of its failure domain.
   *
   * @param version version that it made
   * @param change content
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Relay(long version, Change change) implements PeerMessage {

    Relay {
      requireNonNull(change, "change");
    }
  }

  /**
   * Answers a push or relay.
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
   * Asks for all that came after a version.
   *
   * @param after version that the asking instance has
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Fetch(long after) implements PeerMessage {}

  /**
   * Answers a fetch with the changes that came after.
   *
   * @param after version to which the first change applies
   * @param changes changes without a gap
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Changes(long after, List<Change> changes) implements PeerMessage {

    Changes {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Answers a fetch with the whole catalogue.
   *
   * @param version version
   * @param entries all entries
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Snapshot(long version, List<Entry> entries) implements PeerMessage {

    Snapshot {
      entries = List.copyOf(entries);
    }
  }
}
