package org.snipewick.settings;

import static java.util.Objects.requireNonNull;

/**
 * One thing that is wrong with a settings file.
 *
 * @param line line in the file, from 1; 0 if it concerns the file as a whole
 * @param path where in the settings, as a JSON pointer; empty for the whole
 * @param message what is wrong, in English
 */
public record SettingsFault(int line, String path, String message) {

  /** Checks the parts. */
  public SettingsFault {
    requireNonNull(path, "path");
    requireNonNull(message, "message");
  }
}
