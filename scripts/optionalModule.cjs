// Takes the place of optional native modules in the bundle; the libraries that ask for them go on without.
throw new Error('optional native module is not part of the bundle')
