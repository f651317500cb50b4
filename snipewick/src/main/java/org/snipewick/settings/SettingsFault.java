package org.snipewick.settings;

import static java.util.Objects.requireNonNull;

/**
 * Fault in a settings file. Its components are written as JSON by the command that checks settings.
 *
 * @param line line in the file, from 1; 0 if the line is not known or the fault concerns the file
 *     as a whole
 * @param path JSON pointer to the faulty setting; empty for the file as a whole
 * @param message description of the fault, in English
 */
public record SettingsFault(int line, String path, String message) {

  /** Throws {@link NullPointerException} if the path or the message is null. */
  public SettingsFault {
    requireNonNull(path, "path");
    requireNonNull(message, "message");
  }
}
