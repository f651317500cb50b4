package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.InstanceId;

/**
 * Process of the local failure domain that was declared dead, or superseded by a later process of
 * the same name, without having completed a planned stop. A process that was declared dead may
 * still be running.
 *
 * @param id name of the instance
 * @param incarnation start of the lost process, in milliseconds since the Unix epoch
 * @param declaredDeadEpochMillis when it was declared dead or superseded, in milliseconds since the
 *     Unix epoch
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LostProcess(InstanceId id, long incarnation, long declaredDeadEpochMillis) {

  /** Checks that no component is null. */
  public LostProcess {
    requireNonNull(id, "id");
  }
}
