package org.snipewick.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Converter of changes and snapshots to and from JSON, the format in which they are stored. */
final class CatalogueJson {
  private static final ObjectMapper STRICT =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new ParameterNamesModule())
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  private static final ObjectMapper LENIENT =
      STRICT.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private CatalogueJson() {}

  /**
   * Reads an edit of an operator. Fails on unknown JSON members, so that a misspelled member is
   * reported to the operator.
   */
  static Edit readEditStrictly(JsonNode json) throws JsonProcessingException {
    return STRICT.treeToValue(json, Edit.class);
  }

  /** Returns the JSON of a change. */
  static String writeChange(Change change) {
    try {
      return LENIENT.writeValueAsString(change);
    } catch (JsonProcessingException defect) {
      throw new IllegalStateException("change cannot be written as JSON", defect);
    }
  }

  /** Reads a change, ignoring unknown members; returns empty if the text is not a change. */
  static Optional<Change> readChange(String text) {
    try {
      return Optional.ofNullable(LENIENT.readValue(text, Change.class));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }

  /** Returns a catalogue as the JSON of a snapshot, in UTF-8. */
  static byte[] writeCatalogue(Catalogue catalogue) {
    try {
      return LENIENT.writeValueAsString(catalogue).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException defect) {
      throw new IllegalStateException("catalogue cannot be written as JSON", defect);
    }
  }

  /** Reads a snapshot, ignoring unknown members; returns empty if the bytes are not a snapshot. */
  static Optional<Catalogue> readCatalogue(byte[] bytes) {
    try {
      return Optional.ofNullable(LENIENT.readValue(bytes, Catalogue.class));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }
}
