package org.snipewick.settings;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * Line numbers of the values in a YAML text by JSON pointer, and the duplicate keys of the text.
 */
final class YamlLines {
  private final Map<String, Integer> lines = new HashMap<>();
  private final List<SettingsFault> duplicateKeys = new ArrayList<>();

  private YamlLines() {}

  /** Parses a YAML text and records the line of each value. */
  static YamlLines of(String text) {
    YamlLines result = new YamlLines();
    Node root = new Yaml(new SafeConstructor(new LoaderOptions())).compose(new StringReader(text));
    if (root != null) {
      result.add("", root, lineOf(root));
    }
    return result;
  }

  /** Returns the line of a value, from 1; 0 if there is no such value. */
  int lineAt(String pointer) {
    return lines.getOrDefault(pointer, 0);
  }

  List<SettingsFault> duplicateKeys() {
    return List.copyOf(duplicateKeys);
  }

  private void add(String pointer, Node node, int line) {
    lines.put(pointer, line);
    if (node instanceof MappingNode mapping) {
      mapping.getValue().forEach(tuple -> addMember(pointer, tuple));
    } else if (node instanceof SequenceNode sequence) {
      addItems(pointer, sequence.getValue());
    }
  }

  private void addMember(String pointer, NodeTuple tuple) {
    if (tuple.getKeyNode() instanceof ScalarNode key) {
      String path = pointer + "/" + key.getValue();
      if (lines.containsKey(path)) {
        duplicateKeys.add(
            new SettingsFault(
                lineOf(key), path, "duplicate key, already defined on line " + lineAt(path)));
      }
      add(path, tuple.getValueNode(), lineOf(key));
    }
  }

  private void addItems(String pointer, List<Node> items) {
    for (int index = 0; index < items.size(); index++) {
      add(pointer + "/" + index, items.get(index), lineOf(items.get(index)));
    }
  }

  private static int lineOf(Node node) {
    return node.getStartMark().getLine() + 1;
  }
}
