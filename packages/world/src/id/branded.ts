declare const brand: unique symbol;

/** A primitive with a type-level name of what it identifies, so that ids of different kinds are not assignable. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name; };
