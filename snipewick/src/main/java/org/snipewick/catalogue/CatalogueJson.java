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

/** JSON of changes and snapshots as they lie at the platform. */
final class CatalogueJson {
  private static final ObjectMapper STRICT =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new ParameterNamesModule())
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  private static final ObjectMapper LENIENT =
      STRICT.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private CatalogueJson() {}

  /** Reads an edit of an operator, who is told of unknown members. */
  static Edit strictEdit(JsonNode json) throws JsonProcessingException {
    return STRICT.treeToValue(json, Edit.class);
  }

  static String writeChange(Change change) {
    try {
      return LENIENT.writeValueAsString(change);
    } catch (JsonProcessingException defect) {
      throw new IllegalStateException("change cannot be written", defect);
    }
  }

  /** Reads a row; empty if it is not a change. */
  static Optional<Change> readChange(String text) {
    try {
      return Optional.ofNullable(LENIENT.readValue(text, Change.class));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }

  static byte[] writeCatalogue(Catalogue catalogue) {
    try {
      return LENIENT.writeValueAsString(catalogue).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException defect) {
      throw new IllegalStateException("catalogue cannot be written", defect);
    }
  }

  /** Reads a snapshot; empty if it is not one. */
  static Optional<Catalogue> readCatalogue(byte[] bytes) {
    try {
      return Optional.ofNullable(LENIENT.readValue(bytes, Catalogue.class));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }
}
