package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One entry of a release note: an item added, changed or withdrawn.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "change")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Change.Add.class, name = "add"),
  @JsonSubTypes.Type(value = Change.Replace.class, name = "change"),
  @JsonSubTypes.Type(value = Change.Withdraw.class, name = "withdraw")
})
public sealed interface Change {
  /** Identity of the item, written {@code kind/name}. */
  @JsonIgnore
  String path();

  /** Adds an item; conflicts if the item already exists. */
  record Add(ConfigItem item) implements Change {
    public Add {
      Arguments.checkPresent("item", item);
    }

    @Override
    public String path() {
      return item.path();
    }
  }

  /**
   * Replaces an item.
   *
   * @param basedOn revision of the item on which the operator based the change
   */
  record Replace(ConfigItem item, long basedOn) implements Change {
    public Replace {
      Arguments.checkPresent("item", item);
    }

    @Override
    public String path() {
      return item.path();
    }
  }

  /**
   * Withdraws an item.
   *
   * @param item identity, written {@code kind/name}
   * @param basedOn revision of the item on which the operator based the change
   */
  record Withdraw(String item, long basedOn) implements Change {
    public Withdraw {
      Arguments.checkPresent("item", item);
    }

    @Override
    public String path() {
      return item;
    }
  }
}
