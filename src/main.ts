/** Entry point of the single executable. */
export {}
